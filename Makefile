# Needs Python 3.11 and nothing else; everything is installed into $(VENV).
PYTHON ?= python3
VENV ?= .venv
IN_VENV = PATH="$(VENV)/bin:$$PATH"
# Libraries are declared in pyproject.toml and pinned in constraints.txt, which `make constraints` writes.
INSTALL = $(VENV)/bin/pip -q install -c constraints.txt -e

.PHONY: checks constraints demo mesh stories test tests
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
	$(IN_VENV) lint-imports --no-cache --no-logo

tests: $(VENV)/.dev
	$(IN_VENV) pytest -n 3 --dist loadfile --ignore tests/planning

stories: $(VENV)/.dev
	$(IN_VENV) python -m stories

# Pins what pyproject.toml declares and all that it brings, with Python 3.11. Pins that stand are kept: take a
# library's line out first to have its newest release, or all lines.
constraints:
	$(PYTHON) -m venv --clear $(VENV)/constraints
	$(VENV)/constraints/bin/pip -q install -c constraints.txt -e '.[dev]'
	{ echo '# Made from pyproject.toml by `make constraints`.'; \
	  $(VENV)/constraints/bin/pip freeze --exclude-editable; } > $(VENV)/constraints/pins
	mv $(VENV)/constraints/pins constraints.txt
	rm -r $(VENV)/constraints

$(VENV)/.demo $(VENV)/.mesh $(VENV)/.dev: $(VENV)/.%: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(INSTALL) '.[$*]'
	touch $@
