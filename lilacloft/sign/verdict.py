"""Decides whether a signed link lets a req in, until when, for what; owns no keys and no clock.

Three forms, each bounded in size before anything of it is parsed:

- `hmac`: `exp=SECONDS~acl=PATTERN[!PATTERN...][~st=SECONDS][~id=NAME]~kid=KEY~hmac=HEX`, HMAC-SHA256 over all
before
  `~hmac=`, as content networks publish it.
- `policy`: a JSON policy (resource pattern, not after, not before, networks) in base64, with a signature by a
  private key (Ed25519, ECDSA P-256, RSA) and its id.
- `jwt`: claims of URI Signing for CDNI (RFC 9246): `cdniuc` (a container: `hash:` or `regex:`), `exp`, `nbf`,
`cdniip`,
  `cdnistt` and `cdniets` for renewal, `jti`.

Which algorithms may be is for the settings to say; `none` never, and no key for any but its own algorithm. A
verdict has its reason for the record; a client hears only that it is denied. Times in whole seconds of Unix
time.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import json
import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from netaddr import AddrFormatError, IPAddress, IPNetwork

from lilacloft.sign.paths import PathError, canonical, covers

LONGEST = 4096  # bytes of a token
FIELDS = 12
ALGORITHMS = ("HS256", "EdDSA", "ES256", "RS256")
FAR = 400 * 86_400  # nobody signs for longer
SKEW = 30  # seconds that clocks may differ, where nothing else is told


@dataclass(frozen=True)
class Key:
    """A key as it is used to verify: its id, algorithm and times; `check` says whether a signature is its
    own."""

    id: str
    algorithm: str
    check: Callable[[bytes, bytes], bool]
    not_before: int = 0
    not_after: int = 1 << 62
    revoked: bool = False


@dataclass(frozen=True)
class Request:
    """What is asked for, as far as a link can speak of it."""

    method: str
    host: str
    path: str  # as it came
    address: str = ""


@dataclass(frozen=True)
class Verdict:
    """Allowed until when, and for what; or denied, because."""

    allowed: bool
    why: str
    path: str = ""  # canonical
    until: int = 0
    covers: str = ""
    key: str = ""
    once: str = ""  # an id that is spent by this
    renew: int = 0  # it is to be renewed with so many seconds more


@dataclass(frozen=True)
class Rules:
    """What a vhost's settings say of links."""

    forms: tuple[str, ...] = ("hmac", "policy", "jwt")
    algorithms: tuple[str, ...] = ALGORITHMS
    skew: int = SKEW
    hosts: tuple[str, ...] = ()  # hosts that a link may be for; empty: that of the req
    methods: tuple[str, ...] = ("GET", "HEAD")
    issuers: tuple[str, ...] = ()


@dataclass
class Claims:
    """What a token says, whichever form it has."""

    form: str
    algorithm: str
    key: str
    signed: bytes
    signature: bytes
    patterns: tuple[str, ...] = ()
    hashed: str = ""  # SHA-256 of the whole URI
    regex: str = ""
    begins: int = 0
    ends: int = 0
    networks: tuple[str, ...] = ()
    once: str = ""
    issuer: str = ""
    renew: int = 0
    hosts: tuple[str, ...] = field(default_factory=tuple)


class TokenError(Exception):
    """A token that cannot be read; the text says why."""


# --- reading ---


def number(text: Any, what: str) -> int:
    """A whole time or span that can be one."""
    if isinstance(text, bool) or not isinstance(text, int | str) or not re.fullmatch(r"\d{1,12}", str(text)):
        raise TokenError(f"{what} is no whole number")
    return int(text)


def read(token: str, form: str) -> Claims:
    """What a token of a form says; it is not believed yet."""
    if len(token) > LONGEST:
        raise TokenError(f"{len(token)} bytes, {LONGEST} at most")
    if not token.isascii() or any(ord(char) < 0x21 or ord(char) == 0x7F for char in token):
        raise TokenError("characters that no token has")
    if form == "hmac":
        return _hmac(token)
    if form == "policy":
        return _policy(token)
    if form == "jwt":
        return _jwt(token)
    raise TokenError(f"no form {form}")


def _hmac(token: str) -> Claims:
    signed, mark, signature = token.rpartition("~hmac=")
    if not mark:
        raise TokenError("no hmac at its end")
    fields: dict[str, str] = {}
    parts = signed.split("~")
    if len(parts) > FIELDS:
        raise TokenError(f"{len(parts)} fields, {FIELDS} at most")
    for part in parts:
        name, equals, value = part.partition("=")
        if not equals or name in fields or name not in ("exp", "st", "acl", "id", "kid", "ip"):
            raise TokenError(f"a field {name[:20]!r}")
        fields[name] = value
    for name in ("exp", "acl", "kid"):
        if not fields.get(name):
            raise TokenError(f"{name} is missing")
    try:
        raw = bytes.fromhex(signature)
    except ValueError:
        raise TokenError("an hmac that is no hex") from None
    return Claims(
        "hmac",
        "HS256",
        fields["kid"],
        signed.encode(),
        raw,
        tuple(fields["acl"].split("!")),
        begins=number(fields.get("st", "0"), "st"),
        ends=number(fields["exp"], "exp"),
        networks=(fields["ip"],) if fields.get("ip") else (),
        once=fields.get("id", ""),
    )


def _unbase(text: str, what: str) -> bytes:
    if not re.fullmatch(r"[A-Za-z0-9_-]*", text):
        raise TokenError(f"{what} is no base64 for URLs")
    try:
        data = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
    except (binascii.Error, ValueError):
        raise TokenError(f"{what} is no base64 for URLs") from None
    if base64.urlsafe_b64encode(data).rstrip(b"=").decode() != text:
        raise TokenError(f"{what} has bits that mean nothing")  # else one token could be written in many ways
    return data


def _json(data: bytes, what: str) -> dict[str, Any]:
    def once(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        out = dict(pairs)
        if len(out) < len(pairs):
            raise TokenError(f"{what} has a name twice")
        return out

    try:
        found = json.loads(data, object_pairs_hook=once)
    except (ValueError, RecursionError):
        raise TokenError(f"{what} is no JSON") from None
    if not isinstance(found, dict) or len(found) > 2 * FIELDS:
        raise TokenError(f"{what} is no object")
    return found


def _texts(value: Any, what: str) -> tuple[str, ...]:
    found = [value] if isinstance(value, str) else value
    if not isinstance(found, list) or len(found) > FIELDS or not all(isinstance(one, str) for one in found):
        raise TokenError(f"{what} is no text")
    return tuple(found)


def _policy(token: str) -> Claims:
    parts = token.split(".")
    if len(parts) != 4:
        raise TokenError("expected policy.algorithm.key.signature")
    policy, algorithm, key, signature = parts
    found = _json(_unbase(policy, "the policy"), "the policy")
    unknown = set(found) - {"resource", "not_after", "not_before", "networks", "id"}
    if unknown:
        raise TokenError(f"the policy has {sorted(unknown)[0][:20]!r}")
    resource = _texts(found.get("resource", ""), "resource")
    if not all(resource):
        raise TokenError("no resource")
    return Claims(
        "policy",
        algorithm,
        key,
        ".".join(parts[:3]).encode(),
        _unbase(signature, "the signature"),
        resource,
        begins=number(found.get("not_before", 0), "not_before"),
        ends=number(found.get("not_after", ""), "not_after"),
        networks=_texts(found.get("networks", []), "networks"),
        once=_texts(found.get("id", ""), "id")[0],
    )


def _jwt(token: str) -> Claims:
    parts = token.split(".")
    if len(parts) != 3:
        raise TokenError("expected header.claims.signature")
    head, claims = (
        _json(_unbase(part, what), what)
        for part, what in zip(parts[:2], ("the header", "the claims"), strict=True)
    )
    algorithm, key = head.get("alg"), head.get("kid", "")
    if not isinstance(algorithm, str) or not isinstance(key, str):
        raise TokenError("a header without alg and kid")
    if set(head) - {"alg", "kid", "typ"}:
        raise TokenError("a header that asks for more than is known here")  # crit, jku, x5u and their like
    if number(claims.get("cdniv", 1), "cdniv") != 1:
        raise TokenError("a version that is not known here")
    if claims.get("cdnicrit"):
        raise TokenError("a critical claim that is not known here")
    container = _texts(claims.get("cdniuc", ""), "cdniuc")[0]
    kind, _, what = container.partition(":")
    if kind not in ("hash", "regex") or not what:
        raise TokenError("no container of a URI")
    signature = _unbase(parts[2], "the signature")
    return Claims(
        "jwt",
        algorithm,
        key,
        ".".join(parts[:2]).encode(),
        signature,
        hashed=what.removeprefix("sha-256;") if kind == "hash" else "",
        regex=what if kind == "regex" else "",
        begins=number(claims.get("nbf", 0), "nbf"),
        ends=number(claims.get("exp", ""), "exp"),
        networks=_texts(claims.get("cdniip", []), "cdniip"),
        once=_texts(claims.get("jti", ""), "jti")[0],
        issuer=_texts(claims.get("iss", ""), "iss")[0],
        renew=number(claims.get("cdniets", 0), "cdniets") if claims.get("cdnistt") else 0,
    )


# --- judging ---


def judge(
    token: str, form: str, request: Request, keys: Mapping[str, Key], rules: Rules, now: int
) -> Verdict:
    """May this req be answered by this link? Whatever comes in, a verdict comes out."""
    try:
        path = canonical(request.path)
    except PathError as wrong:
        return Verdict(False, f"path: {wrong}")
    if form not in rules.forms:
        return Verdict(False, f"form {form} is not allowed", path)
    try:
        claims = read(token, form)
    except TokenError as wrong:
        return Verdict(False, f"token: {wrong}", path)
    why = signed(claims, keys, rules, now)
    if why:
        return Verdict(False, why, path, key=claims.key)
    why = fits(claims, request, path, rules, now)
    if why:
        return Verdict(False, why, path, key=claims.key)
    return Verdict(
        True, "", path, claims.ends + rules.skew, shown(claims), claims.key, claims.once, claims.renew
    )


def signed(claims: Claims, keys: Mapping[str, Key], rules: Rules, now: int) -> str:
    """Why a signature is not believed; nothing where it is."""
    if claims.algorithm not in ALGORITHMS or claims.algorithm not in rules.algorithms:
        return f"algorithm {claims.algorithm[:20]!r} is not allowed"
    key = keys.get(claims.key)
    if key is None:
        return f"no key {claims.key[:40]!r}"
    if key.algorithm != claims.algorithm:
        return f"key {key.id} is for {key.algorithm}, not for {claims.algorithm}"
    if key.revoked:
        return f"key {key.id} is revoked"
    if not key.not_before - rules.skew <= now <= key.not_after + rules.skew:
        return f"key {key.id} is not valid now"
    if not key.check(claims.signed, claims.signature):
        return f"the signature is not one of key {key.id}"
    return ""


def fits(claims: Claims, request: Request, path: str, rules: Rules, now: int) -> str:
    """Why what was signed does not let this req in; nothing where it does."""
    if request.method not in rules.methods:
        return f"method {request.method[:20]} is not allowed by links"
    if rules.hosts and request.host not in rules.hosts:
        return f"host {request.host[:60]} is not one of links"
    if rules.issuers and claims.form == "jwt" and claims.issuer not in rules.issuers:
        return f"issuer {claims.issuer[:40]!r} is not known"
    if now > claims.ends + rules.skew:
        return f"expired {now - claims.ends} s ago"
    if now < claims.begins - rules.skew:
        return f"not valid for another {claims.begins - now} s"
    if claims.ends > now + FAR:
        return "valid for longer than anybody signs"
    if claims.networks and not inside(request.address, claims.networks):
        return f"address {request.address[:60]!r} is in none of its networks"
    uri = f"//{request.host}{path}"
    if claims.hashed:
        return (
            ""
            if hmac.compare_digest(hashlib.sha256(uri.encode()).hexdigest(), claims.hashed.lower())
            else "another URI than that of its hash"
        )
    if claims.regex:
        covered = simple(claims.regex) and re.fullmatch(claims.regex, uri)
        return "" if covered else "its container does not cover it"
    for pattern in claims.patterns:
        if pattern.startswith("//"):
            host, slash, rest = pattern[2:].partition("/")
            if host == request.host and covers(slash + rest, path):
                return ""
        elif covers(pattern, path):
            return ""
    return "no pattern covers it"


def simple(regex: str) -> bool:
    """A regular expression that cannot take long: no groups that repeat, no references back."""
    return (
        len(regex) <= 512
        and not re.search(r"\\[1-9]|\(\?|[*+}]\s*[*+{]|\)[*+{?]", regex)
        and regex.count("*") + regex.count("+") <= 8
        and _compiles(regex)
    )


def _compiles(regex: str) -> bool:
    try:
        re.compile(regex)
    except (re.error, RecursionError, OverflowError):
        return False
    return True


def inside(address: str, networks: Iterable[str]) -> bool:
    """Is an address in one of some networks? A network that is none holds nobody."""
    try:
        at = IPAddress(address)
    except (AddrFormatError, ValueError):
        return False
    if at.version == 6 and at.is_ipv4_mapped():
        at = at.ipv4()
    for text in networks:
        try:
            if at in IPNetwork(text):
                return True
        except (AddrFormatError, ValueError):
            continue
    return False


def shown(claims: Claims) -> str:
    """What a link is for, in words."""
    return claims.regex or claims.hashed or " ".join(claims.patterns)
