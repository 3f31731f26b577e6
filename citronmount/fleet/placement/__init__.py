"""Choice of workers for a unit, and of runs to preempt for it."""
