"""Parts of the trial of a rolling upgrade, which benchmarks/rolling_upgrade.py runs."""
