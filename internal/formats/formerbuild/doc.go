// Package formerbuild lets a controller of this build stand for one of the first format in tests and simulations: what
// it reads and writes is what a process of that format reads and writes, by the descriptors that were released.
package formerbuild
