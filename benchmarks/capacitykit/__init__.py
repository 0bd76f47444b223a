"""The parts of `make bench-capacity`: cells, their runner, fits, the plot, and the tables of
docs/CAPACITY.md."""
