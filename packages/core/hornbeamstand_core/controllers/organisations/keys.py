"""Which organisation a request belongs to, and which requests need a key."""

from ...key_messages import CallerKey
from ...messages import NOT_RUN, Refusal

# Status of a request that needs a key and has none of an organisation. It is final: the
# caller does not send the request again.
UNAUTHORIZED = 401
NO_KEY = "no key"
MALFORMED_KEY = "malformed key"
UNKNOWN_KEY = "unknown key"


def authenticate(config, route, key):
    """Return the Organisation that a request on a route belongs to.

    The result is None if the route needs no key, and a Refusal if the CallerKey is that
    of no organisation.
    """
    if not config.organisations or route.is_public:
        return None
    found = config.find_organisation(key.digest) if key.digest else None
    return found or Refusal(refusal_reason(key), NOT_RUN, UNAUTHORIZED, "key")


def refusal_reason(key):
    """Return why a CallerKey of no organisation is refused."""
    if key.digest:
        return UNKNOWN_KEY
    return MALFORMED_KEY if key.is_malformed else NO_KEY


def priority_of(route, organisation):
    """Return the priority of a request: that of its organisation, or of its route.

    ``organisation`` is None if the request has none.
    """
    if organisation is None or organisation.priority is None:
        return route.priority
    return organisation.priority


def find_priority(config, route, key):
    """Return the priority of a request whose key is not checked yet.

    It is the route's if the key is refused later.
    """
    found = authenticate(config, route, key)
    return priority_of(route, None if isinstance(found, Refusal) else found)


def is_outdated(config, policy):
    """Return whether the key of a relayed request must be looked up here too."""
    return bool(config.organisations) and policy.config_version < config.version


def check_relayed(config, message):
    """Return the policy of a relayed request by a newer configuration, or a Refusal.

    ``message`` is the CheckKey. Its policy stays as it is if this configuration is not
    newer, or has no organisations. If this configuration lacks the route, it is public
    if the peer's policy says so.
    """
    policy = message.policy
    if not is_outdated(config, policy):
        return policy
    route = config.find(message.host, message.path)
    was_public = policy.hides_key and not policy.organisation
    if route.is_public if route else was_public:
        return policy.replace(organisation="", hides_key=True)
    key = CallerKey(policy.key_digest) if policy.hides_key else message.key
    found = config.find_organisation(key.digest) if key.digest else None
    if found is None:
        return Refusal(refusal_reason(key), NOT_RUN, UNAUTHORIZED, "key")
    priority = priority_of(route or policy, found)
    return policy.replace(organisation=found.name, priority=priority, hides_key=True)
