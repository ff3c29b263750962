// Package released keeps the descriptors of what processes of each released format tell each other and keep, and reads
// messages as such a process would. Tests hold the messages of this build against them.
package released
