"""The JSON schema of the configuration document, and checks of its references.

The document's "moves" are rollouts: moves of a model's traffic to a version.
"""

import jsonschema

__all__ = ["check_document", "empty_document"]

_NAME = "^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$"
_HASH = {"type": "string", "pattern": "^[0-9a-f]{64}$"}


def _table(item):
    return {
        "type": "object",
        "propertyNames": {"pattern": _NAME},
        "additionalProperties": item,
    }


def _object(required, **properties):
    return {
        "type": "object",
        "properties": properties,
        "required": list(required),
        "additionalProperties": False,
    }


_STRING = {"type": "string", "pattern": _NAME}
_POSITIVE = {"type": "number", "exclusiveMinimum": 0}
_HASHES = {"type": "array", "items": _HASH, "maxItems": 8}

_ACCOUNT = _object(
    ("key_hashes", "tier"),
    key_hashes=_HASHES,
    tier=_STRING,
    weight=_POSITIVE,
    longest_deadline_ms=_POSITIVE,
)
_MODEL = _object(
    ("serving",),
    serving=_STRING,
    weights_bytes=_POSITIVE,
)
_TARGET = _object(
    ("kind", "address", "zone"),
    kind={"enum": ["engine", "service"]},
    address={"type": "string", "pattern": "^https?://[^\\s/]+$"},
    zone=_STRING,
    model=_STRING,
    version=_STRING,
    service=_STRING,
    adapter=_STRING,
    fenced={"type": "boolean"},
    slots={"type": "integer", "minimum": 1, "maximum": 4096},
    generation=_STRING,
)
# [fraction of the time from start to finish_by, share of the new version]
_STEP = {
    "type": "array",
    "prefixItems": [
        {"type": "number", "minimum": 0, "maximum": 1},
        {"type": "number", "minimum": 0, "maximum": 1},
    ],
    "items": False,
    "minItems": 2,
}
_ROLLOUT = _object(
    ("model", "to", "start", "finish_by"),
    model=_STRING,
    to=_STRING,
    start=_POSITIVE,
    finish_by=_POSITIVE,
    steps={"type": "array", "items": _STEP, "minItems": 1, "maxItems": 32},
    state={"enum": ["open", "done", "taken-back"]},
    cause={"type": "string", "maxLength": 300},
    cleared={"type": "integer", "minimum": 0},
    **{"from": _STRING},
)
_SERVICE = _object(
    (),
    idempotent_methods={
        "type": "array",
        "items": {"enum": ["GET", "HEAD", "PUT", "DELETE", "OPTIONS"]},
    },
)
_SCHEMA = _object(
    ("tiers", "zones", "accounts", "operators", "models", "services", "routes")
    + ("targets", "moves", "limits"),
    tiers={"type": "array", "items": _STRING, "minItems": 1, "maxItems": 8},
    zones=_table(_object(("region",), region=_STRING)),
    accounts=_table(_ACCOUNT),
    operators=_table(_object(("key_hashes",), key_hashes=_HASHES)),
    models=_table(_MODEL),
    services=_table(_SERVICE),
    routes=_table(_object((), note={"type": "string"})),
    targets=_table(_TARGET),
    moves=_table(_ROLLOUT),
    limits=_object(
        (),
        link_bytes_per_second=_POSITIVE,
        link_burst_bytes=_POSITIVE,
        weight_bytes_per_second=_POSITIVE,
    ),
)
_VALIDATOR = jsonschema.Draft202012Validator(_SCHEMA)
MAX_FAULTS = 20


def empty_document():
    """Return the document of version 0, which holds only the default tiers."""
    return {
        "tiers": ["urgent", "standard", "batch", "spare"],
        "zones": {},
        "accounts": {},
        "operators": {},
        "models": {},
        "services": {},
        "routes": {},
        "targets": {},
        "moves": {},
        "limits": {},
    }


def check_document(document):
    """Return the faults of a document as [(JSON pointer, description)].

    At most `MAX_FAULTS` are returned. References between parts are checked only
    if the document matches the schema.
    """
    faults = []
    for error in _VALIDATOR.iter_errors(document):
        pointer = "/" + "/".join(str(part) for part in error.absolute_path)
        faults.append((pointer, error.message[:200]))
        if len(faults) >= MAX_FAULTS:
            return faults
    if not faults:
        faults.extend(_check_references(document))
    return faults[:MAX_FAULTS]


def _check_references(document):
    yield from _check_tiers(document)
    yield from _check_accounts(document)
    yield from _check_targets(document)
    yield from _check_rollouts(document)


def _check_tiers(document):
    if len(set(document["tiers"])) != len(document["tiers"]):
        yield "/tiers", "a tier stands twice"


def _check_accounts(document):
    account_of_hash = {}
    for name, account in document["accounts"].items():
        if account["tier"] not in document["tiers"]:
            yield f"/accounts/{name}/tier", "this tier does not exist"
        for key_hash in account["key_hashes"]:
            if account_of_hash.setdefault(key_hash, name) != name:
                yield (
                    f"/accounts/{name}/key_hashes",
                    f"a key is shared with account {account_of_hash[key_hash]}",
                )
    for name, operator in document["operators"].items():
        if any(key_hash in account_of_hash for key_hash in operator["key_hashes"]):
            yield f"/operators/{name}/key_hashes", "a key is also an account's"


def _check_targets(document):
    for name, target in document["targets"].items():
        pointer = f"/targets/{name}"
        if target["zone"] not in document["zones"]:
            yield f"{pointer}/zone", "this availability zone does not exist"
        if target["kind"] == "engine":
            if target.get("model") not in document["models"]:
                yield f"{pointer}/model", "this model does not exist"
            if "version" not in target:
                yield f"{pointer}/version", "an engine needs a version"
        elif target.get("service") not in document["services"]:
            yield f"{pointer}/service", "this service does not exist"


def _check_rollouts(document):
    open_rollouts = {}
    for name, rollout in document["moves"].items():
        pointer = f"/moves/{name}"
        if rollout["model"] not in document["models"]:
            yield f"{pointer}/model", "this model does not exist"
            continue
        if rollout["finish_by"] <= rollout["start"]:
            yield f"{pointer}/finish_by", "must be later than start"
        if rollout.get("state", "open") != "open":
            continue
        serving = document["models"][rollout["model"]]["serving"]
        if rollout["to"] == serving:
            yield f"{pointer}/to", "this version serves already"
        if rollout.get("from", serving) != serving:
            yield f"{pointer}/from", "this version does not serve"
        other = open_rollouts.setdefault(rollout["model"], name)
        if other != name:
            yield f"{pointer}/model", f"move {other} of this model is open"
        step_times = [step[0] for step in rollout.get("steps", [])]
        if step_times != sorted(step_times):
            yield f"{pointer}/steps", "steps must be in time order"
