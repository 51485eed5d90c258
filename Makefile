# Targets for newcomers: `make demo` shows the fleet at work, `make test` proves it.
VENV := .venv
SEEDS := 10
SHAPE := mesh
BIN := $(VENV)/bin
PACKAGES := valeweir valeweir_sharing valeweir_platform valeweir_callers \
	valeweir_upstreams valeweir_fleet valeweir_operators valeweir_router \
	valeweir_standins valeweir_cli valeweir_gateway

.PHONY: env demo platform-demo soak test lint format bench clean

env: $(VENV)/.ready

$(VENV)/.ready: requirements.txt $(foreach p,$(PACKAGES),packages/$(p)/pyproject.toml)
	test -x $(BIN)/python || python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation -e packages/valeweir
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation $(foreach p,$(PACKAGES),-e packages/$(p))
	touch $@

demo: env
	$(BIN)/valeweir demo

platform-demo: env
	PYTHONPATH=platform $(BIN)/python -m valeweir_standin.demo

soak: env
	PYTHONPATH=platform $(BIN)/python -m valeweir_standin.soak run --seeds $(SEEDS) --shape $(SHAPE)

test: env
	scripts/run-tests $(BIN)/python $(PACKAGES)

lint: env
	$(BIN)/ruff format --check packages platform
	$(BIN)/ruff check packages platform

format: env
	$(BIN)/ruff format packages platform
	$(BIN)/ruff check --fix packages platform

bench: env
	$(BIN)/valeweir bench run skew --deployment hooghly --sharing leases

clean:
	rm -rf $(VENV) out
