VENV ?= .venv
EXAMPLE ?= dorna
SEED ?= 7
PY = $(VENV)/bin/python
READY = $(VENV)/.ready-$(shell cat constraints.txt requirements.txt | cksum | cut -d' ' -f1)
ROOTS = packages/nutmegshelf/src packages/nutmegshelf-http/src packages/nutmegshelf-entry/src \
	packages/nutmegshelf-cli/src standins/src bench platform
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(addprefix $(CURDIR)/,$(strip $(ROOTS))))
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: setup format check types test demo bench faults soak reference

setup: $(READY)

$(READY):
	test -x $(PY) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements.txt -c constraints.txt
	touch $@

format: setup
	$(VENV)/bin/black -q .
	$(VENV)/bin/ruff check -q --fix .

check: setup
	$(VENV)/bin/black -q --check .
	$(VENV)/bin/ruff check -q .
	$(VENV)/bin/lint-imports --no-cache

types: setup
	$(PY) -m mypy

test: setup
	$(PY) -m features.run --seed $(SEED)

demo: setup
	$(PY) -m nutmegshelf_standins.demo --example $(EXAMPLE) --seed $(SEED)

bench: setup
	$(PY) -m nutmegshelf_bench --seed $(SEED)

faults: setup
	$(PY) -m features.faults.generator --seed $(SEED)

soak: setup
	$(PY) -m features.run --seed $(SEED) --tags @soak --jobs 1

reference: setup
	$(PY) -m nutmegshelf_entry.reference > docs/operating/settings.md
