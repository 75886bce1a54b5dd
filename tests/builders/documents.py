"""Builders of configuration documents."""

import hashlib

from dragonflydyke.configuration import model

ACCOUNT_KEY = "test-key-cartago"
OTHER_ACCOUNT_KEY = "test-key-other"


def hash_key(key: str) -> str:
    """Returns the SHA-256 of a bearer key in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def build_version(
    name: str = "v1",
    state: model.VersionState = model.VersionState.ACTIVE,
    completion_price: int = 1_000_000,
    quality: float = 0.9,
) -> model.Version:
    """Returns a version with the same quality rating for each class."""
    return model.Version(
        name=name,
        state=state,
        price=model.Price(prompt=100_000, completion=completion_price),
        quality={"line_question": quality, "survey_draft": quality},
    )


def build_engine(
    name: str = "engine-1",
    url: str = "http://127.0.0.1:1",
    serves: tuple[str, ...] = ("planner-small@v1",),
    data_centre: str = "cartago-a",
    slots: int = 8,
) -> model.BackendServer:
    """Returns a backend server of kind engine."""
    return model.BackendServer(
        name=name,
        kind=model.ServerKind.ENGINE,
        url=url,
        data_centre=data_centre,
        serves=serves,
        slots=slots,
    )


def build_document(
    *,
    models: tuple[model.Model, ...] | None = None,
    backend_servers: tuple[model.BackendServer, ...] | None = None,
    roll_outs: tuple[model.Rollout, ...] = (),
    limits: model.AccountLimits | None = None,
    policy: model.Policy | None = None,
) -> model.Document:
    """Returns a small, valid document with two accounts and one service."""
    if models is None:
        models = (
            model.Model("planner-small", (build_version(),)),
            model.Model(
                "planner-large",
                (build_version(completion_price=8_000_000, quality=0.98),),
            ),
        )
    if backend_servers is None:
        backend_servers = (
            build_engine(serves=("planner-small@v1", "planner-large@v1")),
        )
    limits = limits or model.AccountLimits()
    names = tuple(entry.name for entry in models)
    return model.Document(
        deployment="test",
        data_centres=(
            model.DataCentre("cartago-a", "cr-central", ("cartago-b",)),
            model.DataCentre("cartago-b", "cr-central", ("cartago-a",)),
        ),
        models=models,
        client_accounts=(
            model.ClientAccount(
                name="cartago-packing",
                key_hashes=(hash_key(ACCOUNT_KEY),),
                models=names,
                default_class="line_question",
                services=("labels",),
                cascades=("planning",),
                limits=limits,
            ),
            model.ClientAccount(
                name="other",
                key_hashes=(hash_key(OTHER_ACCOUNT_KEY),),
                models=names[:1],
                default_class="line_question",
            ),
        ),
        classes=(
            model.RequestClass("line_question", 0.8, 5.0),
            model.RequestClass(
                "survey_draft", 0.95, 120.0, priority=10, long=True
            ),
        ),
        services=(
            model.Service(
                "labels",
                (
                    model.Operation("print", "POST", "/print", False),
                    model.Operation("lookup", "GET", "/lookup", True),
                ),
            ),
        ),
        cascades=(model.Cascade("planning", names),),
        roll_outs=roll_outs,
        backend_servers=backend_servers,
        policy=policy or model.Policy(),
    )
