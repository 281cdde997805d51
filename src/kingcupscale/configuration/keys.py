"""API keys: creation, salted digests and authentication."""

import hashlib
import hmac
import secrets

import attrs

from kingcupscale import errors
from kingcupscale.configuration import document
from kingcupscale.configuration import replica as replicas

PREFIX = "kc"
SECRET_BYTES = 24
SALT_BYTES = 16


@attrs.frozen
class NewKey:
    """A newly created key, as it is shown once to its owner.

    Attributes:
        key_id: The public part of the key.
        text: The complete key, including its secret.
        salt: Salt of the digest, in hexadecimal.
        digest: The digest that is stored.
    """

    key_id: str
    text: str
    salt: str
    digest: str


@attrs.frozen
class Grant:
    """The identity and access that a key provides.

    Attributes:
        key_id: The key's id; empty on an open route.
        organisation: Name of the organisation.
        label: The organisation's name towards backend servers and in reports.
        service_class: Name of the service class.
        trainer: The trainer that the key belongs to, or empty.
    """

    key_id: str
    organisation: str
    label: str
    service_class: str
    trainer: str = ""


def make_key(key_id: str) -> NewKey:
    """Creates a key with a random secret."""
    secret = secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    text = f"{PREFIX}.{key_id}.{secret}"
    return NewKey(key_id, text, salt, digest(salt, text))


def digest(salt: str, text: str) -> str:
    """Returns the salted digest of a key's text."""
    return hashlib.blake2b(
        text.encode(), salt=bytes.fromhex(salt), digest_size=32
    ).hexdigest()


def matches(salt: str, expected: str, text: str) -> bool:
    """Returns whether a key's text matches a stored digest."""
    return hmac.compare_digest(digest(salt, text), expected)


def read_bearer(headers: dict[str, str]) -> str:
    """Returns the bearer token of a request, or an empty string."""
    scheme, _, text = headers.get("authorization", "").partition(" ")
    return text.strip() if scheme.lower() == "bearer" else ""


class KeyRing:
    """Authenticates keys against the node's replica.

    Args:
        replica: The node's replica of the configuration.
    """

    def __init__(self, replica: replicas.Replica) -> None:
        self.replica = replica

    def authenticate(self, text: str) -> Grant:
        """Returns the grant of a key.

        Raises:
            ServiceError: ``KEY_MISSING`` for an empty text, ``KEY_REFUSED``
                for an unknown, withdrawn or wrong key.
        """
        if not text:
            raise errors.ServiceError(errors.ResultCode.KEY_MISSING)
        key_id = text.split(".")[1] if text.count(".") >= 2 else ""
        key = self.find(key_id)
        if key is None or not matches(key.salt, key.digest, text):
            raise errors.ServiceError(errors.ResultCode.KEY_REFUSED)
        organisation = self.replica.document.organisations[key.organisation]
        return Grant(
            key_id,
            key.organisation,
            organisation.label,
            key.service_class,
            key.trainer,
        )

    def find(self, key_id: str) -> document.Key | None:
        """Returns a configured key, or None if it is unknown or withdrawn."""
        if key_id in self.replica.withdrawn:
            return None
        return self.replica.document.keys.get(key_id)

    def is_valid(self, grant: Grant) -> bool:
        """Returns whether a grant is valid; that of an open route always is."""
        return not grant.key_id or self.find(grant.key_id) is not None
