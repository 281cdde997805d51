"""Callers' keys: made once, stored as salted digests, checked at the entry."""

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
    """A key as it is handed out, once.

    Attributes:
        key_id: The part that may be shown.
        text: The whole key.
        salt: Hexadecimal salt of the digest.
        digest: What is stored.
    """

    key_id: str
    text: str
    salt: str
    digest: str


@attrs.frozen
class Grant:
    """What a key gives access to.

    Attributes:
        key_id: The key's id; empty on an open route.
        organisation: Name of the organisation.
        label: What backend servers and reports call the organisation.
        service_class: Name of the class.
        trainer: The trainer it belongs to, or empty.
    """

    key_id: str
    organisation: str
    label: str
    service_class: str
    trainer: str = ""


def make_key(key_id: str) -> NewKey:
    """Makes a key with a random secret."""
    secret = secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    text = f"{PREFIX}.{key_id}.{secret}"
    return NewKey(key_id, text, salt, digest(salt, text))


def digest(salt: str, text: str) -> str:
    """Returns the stored form of a key."""
    return hashlib.blake2b(
        text.encode(), salt=bytes.fromhex(salt), digest_size=32
    ).hexdigest()


def matches(salt: str, expected: str, text: str) -> bool:
    """Tells whether a key's text is the one whose digest is stored."""
    return hmac.compare_digest(digest(salt, text), expected)


def read_bearer(headers: dict[str, str]) -> str:
    """Returns the key that came with a request, or an empty string."""
    scheme, _, text = headers.get("authorization", "").partition(" ")
    return text.strip() if scheme.lower() == "bearer" else ""


class KeyRing:
    """Tells which organisation a key belongs to, as of the replica.

    Args:
        replica: The node's configuration.
    """

    def __init__(self, replica: replicas.Replica) -> None:
        self.replica = replica

    def authenticate(self, text: str) -> Grant:
        """Returns what a key gives access to.

        Raises:
            ServiceError: ``KEY_MISSING`` or ``KEY_REFUSED``.
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
        """Returns a key that is in force."""
        if key_id in self.replica.withdrawn:
            return None
        return self.replica.document.keys.get(key_id)

    def is_valid(self, grant: Grant) -> bool:
        """Tells whether what a key gave is still in force."""
        return not grant.key_id or self.find(grant.key_id) is not None
