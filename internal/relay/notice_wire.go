package relay

// wireParts returns the hashes and lengths of parts for a notice.
func wireParts(parts []promptPart) (hashes []uint64, tokens []uint32) {
	for _, part := range parts {
		hashes = append(hashes, uint64(part.hash))
		tokens = append(tokens, uint32(max(part.tokens, 0)))
	}
	return hashes, tokens
}

// partsFromWire is the reverse of wireParts; what does not fit together is left out.
func partsFromWire(hashes []uint64, tokens []uint32) []promptPart {
	if len(hashes) != len(tokens) {
		return nil
	}
	parts := make([]promptPart, len(hashes))
	for index, hash := range hashes {
		parts[index] = promptPart{hash: partHash(hash), tokens: int(tokens[index])}
	}
	return parts
}

func hashesFromWire(told []uint64) []partHash {
	hashes := make([]partHash, len(told))
	for index, hash := range told {
		hashes[index] = partHash(hash)
	}
	return hashes
}
