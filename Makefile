# Both targets set up all they need in a virtual environment of their own.
.PHONY: test day clean

PY ?= python3
RUN := .venv-run/bin/python

# The checks that CI runs: lint, format, types, tests.
test:
	bash .ci/run

# The bad day: stand-ins, each call server in a process of its own, on loopback sockets; then the judge.
day: .venv-run/made
	$(RUN) -m wellhitch day play days/bad.jsonnet --processes

.venv-run/made: pyproject.toml
	$(PY) -m venv .venv-run
	$(RUN) -m pip install --quiet --disable-pip-version-check -e .
	touch $@

clean:
	rm -rf .venv-run .venv-test build *.egg-info
