# Tasks of the project; `make` alone builds.
PY = .venv/bin/python

.PHONY: build test lint run bench clean

build: .venv

.venv: requirements.txt
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	touch .venv

test: build
	$(PY) -m pytest -q

lint: build
	.venv/bin/ruff check .

run: build            # with BALANCER_CONFIG and its like set, see README.md
	$(PY) -m indigohitch

bench: build          # the bench's wire on standard input and output
	$(PY) -m indigohitch.benchlink

clean:
	rm -rf .venv .pytest_cache .ruff_cache

.PHONY: proof-upgrade bench-request-path bench-handover

proof-upgrade: build  # QUICK=1: under 50 s
	$(PY) proofs/upgrade.py

bench-request-path: build
	$(PY) benchmarks/request_path.py

bench-handover: build
	$(PY) benchmarks/handover.py
