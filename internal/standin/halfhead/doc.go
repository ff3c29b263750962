// Package halfhead is a scripted server for tests whose answers stop within their head, or right after it, and the ways in which
// they stop. A reader of such an answer must not take it for an answer without content.
package halfhead
