# Needs Python 3.11 and nothing else; everything is installed into $(VENV).
PYTHON ?= python3
VENV ?= .venv
IN_VENV = PATH="$(VENV)/bin:$$PATH"

.PHONY: checks demo mesh stories test tests
demo: $(VENV)/.demo
	$(VENV)/bin/python -m cometdoor demo

mesh: $(VENV)/.mesh
	$(VENV)/bin/python -m cometdoor mesh demo

test: $(VENV)/.dev
	$(MAKE) -j 3 --output-sync=target --no-print-directory checks tests stories
	$(IN_VENV) pytest tests/planning  # alone: on a busy machine its stand-ins read late, and tell of it

checks: $(VENV)/.dev
	$(IN_VENV) ruff check .
	$(IN_VENV) ruff format --check .
	$(IN_VENV) mypy

tests: $(VENV)/.dev
	$(IN_VENV) pytest -n 3 --dist loadfile --ignore tests/planning

stories: $(VENV)/.dev
	$(IN_VENV) python -m stories

$(VENV)/.demo: requirements.txt requirements-demo.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements.txt -r requirements-demo.txt
	touch $@

$(VENV)/.mesh: requirements-mesh.txt requirements-demo.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements-mesh.txt
	touch $@

$(VENV)/.dev: requirements.txt requirements-mesh.txt requirements-demo.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements-mesh.txt -r requirements-dev.txt
	touch $@
