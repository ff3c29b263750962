// Package duty decides when the one holder of the platform's singleton duties may call. It is pure.
// Calls on one subject go one after another, all of them no faster than the platform allows, and
// none follows once the platform has seen a later holder.
package duty
