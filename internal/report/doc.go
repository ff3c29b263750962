// Package report compares the results of experiments and of runs on real processes. It
// writes a self-contained HTML page with plots and tables, a summary for a terminal, CSV and
// JSON. Its input is the output of `hazelbench experiment --json`.
//
// Reports depend on the results alone: equal results give equal output.
package report
