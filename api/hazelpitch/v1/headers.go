package hazelpitchv1

// HeaderLeaderAddress is the metadata of an error of a call that needs the leader: the
// leader's IP:port, when the answering controller knows it.
const HeaderLeaderAddress = "X-Leader-Address"
