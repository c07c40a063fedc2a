"""Development scripts: checks, tests, set-up and demonstration."""
