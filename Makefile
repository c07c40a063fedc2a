.PHONY: help setup run test

help:
	@echo 'make run   bring up a small fleet and get one whole long answer'
	@echo 'make run ARGS=--keep   the same, and leave it up'
	@echo 'make test  format, linters, types, contracts, model check, tests'

setup:
	@bash scripts/setup.sh

run: setup
	@bash scripts/demo.sh $(ARGS)

test: setup
	@bash scripts/check.sh
