// Package report compares results of experiments and of runs on real processes: one
// self-contained HTML page with plots and tables, a summary for a terminal, CSV and
// JSON. It reads what `hazelbench experiment --json` writes.
//
// Everything here depends on the results alone; equal results give equal output.
package report
