// Package released holds the protocol descriptors of each released format, and decodes messages as a process of that
// format does. Tests compare the messages of this build with them.
package released
