# The tasks of the project; `make setup` is done by those that need it.
# VENV: a virtual environment to use in place of .venv, as it is.

VENV ?= .venv
PYTHONPATH := $(CURDIR)
export VENV PYTHONPATH

.PHONY: help setup run test lint bench report soak emulate clean

help:
	@echo 'make setup   virtual environment from the locked requirements'
	@echo 'make run     both deployments of the brief, a bounded number of'
	@echo '             requests, then a clean end; FOREVER=1 stays up'
	@echo 'make test    unit tests and features; ends with N passed, N failed'
	@echo 'make lint    format, style and types'
	@echo 'make bench   measurements, one JSON object a line'
	@echo 'make report  pages and charts of the measurements in var/report'
	@echo 'make soak    random faults on real processes; SEEDS=1-50'
	@echo 'make emulate random faults on a simulated network; SEEDS=1-300'
	@echo 'make clean   remove what these made'

setup:
	@script/setup

run: setup
	@$(VENV)/bin/python -m tests.live.run
	@$(VENV)/bin/python -m tests.run $(if $(FOREVER),--forever)

test: setup
	@script/test

lint: setup
	@script/lint

bench: setup
	@$(VENV)/bin/python -m bench

report: setup
	@$(VENV)/bin/python -m bench.report

soak: setup
	@$(VENV)/bin/python -m tests.live.soak --seeds $(or $(SEEDS),1-50)

emulate: setup
	@$(VENV)/bin/python -m tests.emulator --seeds $(or $(SEEDS),1-300)

clean:
	rm -rf .venv var build *.egg-info .mypy_cache .ruff_cache .hypothesis
	find . -name __pycache__ -type d -prune -exec rm -rf {} +
