// Package formerbuild makes a controller of this build behave like one of a former format in tests and simulations. What
// it reads and writes is restricted to that format by the released descriptors.
package formerbuild
