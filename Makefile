# Tasks of the project; `make` alone builds.
PY = .venv/bin/python

.PHONY: build test lint format run bench clean

build: .venv

.venv: requirements.txt requirements-load.txt
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt -r requirements-load.txt
	touch .venv

test: build
	$(PY) -m pytest -q

lint: build
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .

format: build
	.venv/bin/ruff format .

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

.PHONY: bench-fleet-size

bench-fleet-size: build     # a module turn and a burst of joins at two sizes, against the starting commit
	$(PY) benchmarks/fleet_size.py

.PHONY: example

example: build        # two stand-in servers, a sidecar before them, one request answered, and all ended again
	@$(PY) -m indigohitch stand-in 127.0.0.1:9001 --name n1 & one=$$!; \
	$(PY) -m indigohitch stand-in 127.0.0.1:9002 --name n2 & two=$$!; \
	$(PY) -m indigohitch sidecar deploy/sidecar.conf & car=$$!; sleep 1.5; \
	$(PY) -c "import http.client as h; c = h.HTTPConnection('127.0.0.1', 8080); c.request('GET', '/vacancies/12'); \
	a = c.getresponse(); print(a.status, a.headers['X-Server'], a.read().decode())"; \
	kill $$car; wait $$car; kill $$one $$two

.PHONY: proof-load

proof-load: build     # QUICK=1: under 50 s
	$(PY) proofs/load.py

.PHONY: bench-emulator bench-load

bench-emulator: build # speed, error against the stand-ins, decisions tried
	$(PY) benchmarks/emulator.py

bench-load: build     # parsing, the ceiling of a replay, the sketch
	$(PY) benchmarks/load.py

.PHONY: proof-ledger proof-audit proof-seats proof-batches proof-fleet

proof-ledger: build   # QUICK=1: under 50 s, as for each of these
	$(PY) proofs/ledger.py

proof-audit: build
	$(PY) proofs/audit.py

proof-seats: build
	$(PY) proofs/seats.py

proof-batches: build
	$(PY) proofs/batches.py

proof-fleet: build    # all at once
	$(PY) proofs/fleet.py

.PHONY: proof-scale

proof-scale: build    # QUICK=1: under 50 s, 1,300 hollow subscribers; in full 6,500; BROKEN=guard, BROKEN=resume
	$(PY) proofs/scale.py

.PHONY: bench-ledger bench-seats bench-batches bench-distribution

bench-ledger: build   # commits a second and latency at 3, 5, 7 members, catching up
	$(PY) benchmarks/ledger.py

bench-distribution: build   # QUICK=1: small.  Decisions of a distributor and of its subscribers, without sockets
	$(PY) benchmarks/distribution_cost.py

bench-seats: build    # local giving against a round trip each; 50 members and 2,000 nodes
	$(PY) benchmarks/seats.py

bench-batches: build  # planning time and cost; 50 members and 2,000 nodes
	$(PY) benchmarks/batches.py

.PHONY: proof-versions bench-versions

proof-versions: build # QUICK=1: under 50 s
	$(PY) proofs/versions.py

bench-versions: build # a one-line version, deltas, 5,000 relays
	$(PY) benchmarks/versions.py

.PHONY: sites

KIT = ../given/kit
SITES_DIR = deploy/sites

sites:                # lays the bench's own files beside our site files; KIT=... where the kit lies elsewhere
	@test -d "$(KIT)/sites" || { echo "make sites: no kit at $(KIT) (no folder $(KIT)/sites): give KIT=..." >&2; exit 1; }
	@missing=; for f in real.json wire.json unlock.txt; do \
	  test -f "$(KIT)/sites/$$f" || missing="$$missing $$f"; done; \
	test -z "$$missing" || { echo "make sites: missing in $(KIT)/sites:$$missing" >&2; exit 1; }
	@for f in real.json wire.json unlock.txt; do cp -f "$(KIT)/sites/$$f" "$(SITES_DIR)/$$f" || exit 1; done
	@echo "laid in $(SITES_DIR): real.json wire.json unlock.txt"

.PHONY: bench-readiness

bench-readiness: build      # from the start of the process to the first hb_ok; QUICK=1: under 20 s
	$(PY) benchmarks/readiness.py

.PHONY: bench-capacity

bench-capacity: build       # cost of one process against each count alone, and how it grows; QUICK=1: under 50 s
	$(PY) benchmarks/capacity.py

.PHONY: bench-subscribed

bench-subscribed: build     # a coordinator told its part against one told the whole fleet; QUICK=1: under 50 s
	$(PY) benchmarks/subscribed_cost.py

.PHONY: proof-platform-soak

proof-platform-soak: build  # random faults on 24 coordinators; QUICK=1: under 50 s; ROUNDS, SEED; BROKEN=repeats
	$(PY) proofs/platform_soak.py

.PHONY: proof-previous-version

proof-previous-version: build  # upgrades from an earlier commit and back, under load; QUICK=1: under 50 s; BROKEN=names
	$(PY) proofs/previous_version.py
