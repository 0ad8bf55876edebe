"""The operator's routing documents. The content of a version is a function of its number, so that
every part of a soak can compute what a version allows.

Each version adds the route of its own number, moves the one added three versions earlier to the
other service, and drops the one added six versions earlier. MOVED_ROUTE moves with each version.
"""

import json

HOST = "soak.example"
# Models of the trainers; further ones are added by `use_models`.
MODELS = ["writer"]
SERVICES = ("pages", "shop")
# Its back ends get more requests than they can answer.
LOOKUP_SERVICE, LOOKUP_ROUTE = "lookups", "/lookup/"
LOOKUP_TIMEOUT, LOOKUP_TARGET = 0.8, 0.15
MOVED_ROUTE = "/moved/"
SCORE_ROUTE = "/score/"
SCORE_MOVES_EACH = 4
ADDED_KEPT = 6
ADDED_MOVES_AFTER = 3
FLAWS = ("no-limit", "unknown-service", "twice", "no-weight", "cut-short")
# Requests and responses of the soak are small.
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}


def use_models(count):
    """Sets the number of models; called before any part of a run is created."""
    MODELS[1:] = [f"writer-{number}" for number in range(2, count + 1)]


def added_route(number):
    """Prefix of the route that version `number` adds."""
    return f"/added-{number}/"


def flawed_route(version):
    """Prefix of a route that only invalid documents have."""
    return f"/flawed-{version}/"


def moved_service(version):
    """The service of the moved route under a version."""
    return SERVICES[version % 2]


def score_service(version):
    """The service that scores texts under a version."""
    return SERVICES[version // SCORE_MOVES_EACH % 2]


def added_service(number, version):
    """The service of the route of version `number` under `version`; none without such a route."""
    if not 0 < number <= version < number + ADDED_KEPT:
        return None
    return SERVICES[(number + (version >= number + ADDED_MOVES_AFTER)) % 2]


def service_of(prefix, version):
    """The service that a version routes a prefix to; none without such a route."""
    if prefix == "/pages/":
        return "pages"
    if prefix == "/book/":
        return "shop"
    if prefix == MOVED_ROUTE:
        return moved_service(version)
    if prefix == SCORE_ROUTE:
        return score_service(version)
    if prefix.startswith("/added-"):
        return added_service(int(prefix[len("/added-"):-1]), version)
    return None


def _route(name, prefix, kind, service, **more):
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": 1500,
            "target_ms": 200, "priority": 2, "service": service, "attempts": 3, **more}


def routing_document(version, priority=2):
    """The document of a version; `priority` gives other content under the same number."""
    routes = [
        _route("pages", "/pages/", "safe", "pages"),
        _route("book", "/book/", "unsafe", "shop"),
        _route("moved", MOVED_ROUTE, "safe", moved_service(version)),
        _route("score", SCORE_ROUTE, "safe", score_service(version)),
        _route("lookups", LOOKUP_ROUTE, "safe", LOOKUP_SERVICE,
               timeout_ms=int(LOOKUP_TIMEOUT * 1000), target_ms=int(LOOKUP_TARGET * 1000)),
        _route("jobs", "/jobs/", "rollout", "engines", deadline_ms=10000, queue_ttl_s=20,
               sticky=True, resumable=True),
    ]
    for number in range(max(1, version - ADDED_KEPT + 1), version + 1):
        routes.append(_route(f"added-{number}", added_route(number), "safe",
                             added_service(number, version)))
    for route in routes:
        route["priority"] = priority
    services = [{"name": name, "health_path": "/healthz", "max_conns": 400, "protocol": "h1",
                 "tls": False} for name in (*SERVICES, LOOKUP_SERVICE)]
    services.append({
        "name": "engines", "health_path": "/healthz", "max_conns": 400, "protocol": "h1",
        "tls": False,
        "engine": {"slots": 8, "kv_capacity": 100000, "kv_token_bytes": 1000,
                   "models": [{"name": name} for name in MODELS]}})
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS}


def flawed_text(version, flaw):
    """The text of an invalid document."""
    document = routing_document(version)
    flawed = _route("flawed", flawed_route(version), "safe", "pages")
    document["routes"].append(flawed)
    if flaw == "no-limit":
        flawed["timeout_ms"] = 0
    elif flaw == "unknown-service":
        flawed["service"] = "nowhere"
    elif flaw == "twice":
        document["routes"].append({**flawed, "name": "again"})
    elif flaw == "no-weight":
        del flawed["service"]
        flawed["split"] = [{"service": name, "weight": 0} for name in SERVICES]
    text = json.dumps(document)
    return text[:len(text) // 2] if flaw == "cut-short" else text
