"""Signed links: a table of cases, keys that change, and a slow plain checker beside mutated tokens."""

import base64
import hashlib
import hmac
import json
import string

import jwt
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lilacloft.sign import keys as keyring
from lilacloft.sign.issue import hmac_link, jwt_link, policy_link
from lilacloft.sign.keys import (
    PROPAGATION_SECONDS,
    KeyRecord,
    KeySet,
    SigningKeyError,
    deserialize_key,
    generate_key,
    serialize_key,
    sign,
    verify,
)
from lilacloft.sign.paths import MAX_PATH_BYTES, MAX_SEGMENTS, PathError, canonicalize, pattern_matches
from lilacloft.sign.verdict import (
    CLOCK_SKEW_SECONDS,
    MAX_VALIDITY_SECONDS,
    Request,
    Rules,
    VerificationKey,
    address_in_networks,
    authorize,
    is_safe_regex,
)

NOW = 1_800_000_000
SECRET = hashlib.sha512(b"a secret of the tests").digest()
HMAC_KEY = KeyRecord("h1", "HS256", SECRET, state="in use")
PRIVATE_KEYS = {name: generate_key(name.lower(), name, b"", NOW) for name in ("EdDSA", "ES256", "RS256")}
KEY_SET = KeySet([HMAC_KEY, *PRIVATE_KEYS.values()])
VERIFICATION_KEYS = KEY_SET.verification_keys()
JWT_HEADER = {"alg": "HS256", "kid": "h1"}
MAP_REQUEST = Request("GET", "stops.example.org", "/map", "10.1.2.3")


def encode_json(value):
    return base64.urlsafe_b64encode(json.dumps(value).encode()).rstrip(b"=").decode()


def decide(token, token_format, request=MAP_REQUEST, now=NOW, rules=None, keys=None):
    return authorize(token, token_format, request, keys or VERIFICATION_KEYS, rules or Rules(), now)


# --- paths ---


@pytest.mark.parametrize(
    "path, expected",
    [
        ("/map", "/map"),
        ("/map/", "/map/"),
        ("/", "/"),
        ("/%6Dap", "/map"),
        ("/a%2db", "/a-b"),
        ("/%c3%a9", "/%C3%A9"),
        ("/a:b@c", "/a:b@c"),
        ("/MAP", "/MAP"),
        ("/a%20b", "/a%20b"),
    ],
)
def test_a_path_has_one_form(path, expected):
    assert canonicalize(path) == expected == canonicalize(canonicalize(path))


@pytest.mark.parametrize(
    "path",
    [
        "map",
        "",
        "/../etc",
        "/a/../b",
        "/a/.",
        "/.",
        "/a//b",
        "//a",
        "/%2e%2e/b",
        "/a%2fb",
        "/a%5cb",
        "/a\\b",
        "/%252e",
        "/%zz",
        "/%2",
        "/a?b",
        "/a#b",
        "/a\x00",
        "/%00",
        "/%7f",
        "/é",
        "/%ff",
        "/a b",
        "/" + "a" * MAX_PATH_BYTES,
        "/a" * (MAX_SEGMENTS + 1),
        "/%E0%80%80",
    ],
)
def test_a_path_that_could_be_read_in_two_ways_is_refused(path):
    with pytest.raises(PathError):
        canonicalize(path)


@given(st.text(max_size=80))
@settings(max_examples=400, deadline=None, derandomize=True)
def test_whatever_comes_as_a_path_is_canonical_or_refused(text):
    try:
        canonical_text = canonicalize(text)
    except PathError:
        return
    assert (
        canonicalize(canonical_text) == canonical_text
        and ".." not in canonical_text.split("/")
        and "//" not in canonical_text
    )


@pytest.mark.parametrize(
    "pattern, path, expected",
    [
        ("/map", "/map", True),
        ("/map", "/map/", False),
        ("/map", "/Map", False),
        ("/video/*", "/video/1", True),
        ("/video/*", "/video/1/2", False),
        ("/video/**", "/video/1/2", True),
        ("/v?deo", "/video", True),
        ("/v?deo", "/v/deo", False),
        ("/a.b", "/axb", False),
        ("/**/x/**/y/**", "/a/x/b/y/c", False),
        ("*" * 17, "/a", False),
        ("/" + "a" * MAX_PATH_BYTES, "/a", False),
    ],
)
def test_patterns_cover_what_they_say(pattern, path, expected):
    assert pattern_matches(pattern, path) is expected


# --- the table ---


def make_link(token_format, expires_at=NOW + 600, **options):
    if token_format == "hmac":
        return hmac_link(HMAC_KEY, options.pop("patterns", ["/map"]), expires_at, **options)
    if token_format == "policy":
        return policy_link(PRIVATE_KEYS["EdDSA"], options.pop("patterns", ["/map"]), expires_at, **options)
    return jwt_link(
        PRIVATE_KEYS["ES256"], "stops.example.org", options.pop("path", "/map"), expires_at, **options
    )


CASES = {
    "as it was signed": ({}, {}, ""),
    "another path": ({}, {"path": "/fares"}, "cover|URI"),
    "a longer path": ({}, {"path": "/map/x"}, "cover|URI"),
    "a trailing slash": ({}, {"path": "/map/"}, "cover|URI"),
    "another case": ({}, {"path": "/MAP"}, "cover|URI"),
    "the same path, encoded": ({}, {"path": "/%6dap"}, ""),
    "a path with dots": ({}, {"path": "/x/../map"}, "path:"),
    "a doubly encoded path": ({}, {"path": "/%2566ap"}, "path:"),
    "another method": ({}, {"method": "POST"}, "method"),
    "a head of it": ({}, {"method": "HEAD"}, ""),
    "just before its end": ({"expires_at": NOW}, {}, ""),
    "within the skew": ({"expires_at": NOW - CLOCK_SKEW_SECONDS}, {}, ""),
    "past the skew": ({"expires_at": NOW - CLOCK_SKEW_SECONDS - 1}, {}, "expired"),
    "a kiosk four minutes fast": ({"not_before": NOW + 240}, {}, "not valid for another 240 s"),
    "one that is a little fast": ({"not_before": NOW + CLOCK_SKEW_SECONDS}, {}, ""),
    "valid for longer than anybody signs": ({"expires_at": NOW + MAX_VALIDITY_SECONDS + 1}, {}, "longer"),
    "from its network": ({"net": "10.1.0.0/16"}, {}, ""),
    "from another network": ({"net": "10.2.0.0/16"}, {}, "networks"),
    "from nowhere": ({"net": "10.1.0.0/16"}, {"address": ""}, "networks"),
    "from its network, in the other form": ({"net": "10.1.0.0/16"}, {"address": "::ffff:10.1.2.3"}, ""),
    "from a network that is none": ({"net": "10.1.0.0/99"}, {}, "networks"),
}


@pytest.mark.parametrize("token_format", ["hmac", "policy", "jwt"])
@pytest.mark.parametrize("case", sorted(CASES))
def test_the_table(token_format, case):
    import re

    link_options, request_options, expected = CASES[case]
    link_options = dict(link_options)
    if net := link_options.pop("net", ""):
        link_options.update({"network": net} if token_format == "hmac" else {"networks": [net]})
    request = Request(
        **{
            "method": "GET",
            "host": "stops.example.org",
            "path": "/map",
            "address": "10.1.2.3",
            **request_options,
        }
    )
    verdict = decide(make_link(token_format, **link_options), token_format, request)
    assert verdict.allowed == (not expected) and re.search(expected, verdict.reason)
    if verdict.allowed:
        assert (
            verdict.valid_until == link_options.get("expires_at", NOW + 600) + CLOCK_SKEW_SECONDS
            and verdict.path == "/map"
            and verdict.key_id
        )


@pytest.mark.parametrize("token_format", ["hmac", "policy"])
def test_hosts_are_held_to_where_patterns_or_settings_name_them(token_format):
    token = make_link(token_format, patterns=["//stops.example.org/map", "//other.example.org/**"])
    assert decide(token, token_format).allowed
    assert not decide(token, token_format, Request("GET", "evil.example.org", "/map")).allowed
    assert decide(token, token_format, Request("GET", "other.example.org", "/any/thing")).allowed
    rules = Rules(hosts=("stops.example.org",))
    assert not decide(
        make_link(token_format), token_format, Request("GET", "evil.example.org", "/map"), rules=rules
    ).allowed


def test_a_link_for_one_uri_or_a_container_holds_for_no_other_host():
    assert not decide(make_link("jwt"), "jwt", Request("GET", "evil.example.org", "/map")).allowed
    token = make_link(
        "jwt", regex="//stops\\.example\\.org/video/[0-9]+", renewal_seconds=30, token_id="j1", issuer="rides"
    )
    verdict = decide(token, "jwt", Request("GET", "stops.example.org", "/video/12"))
    assert verdict.allowed and (verdict.renewal_seconds, verdict.token_id) == (30, "j1")
    assert not decide(token, "jwt", Request("GET", "stops.example.org", "/video/x")).allowed
    assert decide(token, "jwt", MAP_REQUEST, rules=Rules(issuers=("other",))).reason.startswith("issuer")
    assert is_safe_regex("//a/[0-9]+") and not any(
        map(is_safe_regex, ("(a+)+", "(a)\\1", "a" * 600, "(?i)a", "a**", "["))
    )


@pytest.mark.parametrize("algorithm", ["EdDSA", "ES256", "RS256"])
def test_each_algorithm_signs_and_no_key_serves_for_another(algorithm):
    key = PRIVATE_KEYS[algorithm]
    assert decide(policy_link(key, ["/map"], NOW + 60), "policy").allowed
    parts = policy_link(key, ["/map"], NOW + 60).split(".")
    for other in {"EdDSA", "ES256", "RS256", "HS256", "none", ""} - {algorithm}:
        assert "not" in decide(".".join([parts[0], other, *parts[2:]]), "policy").reason
    rules = Rules(algorithms=("HS256",))
    assert "is not allowed" in decide(policy_link(key, ["/map"], NOW + 60), "policy", rules=rules).reason


def test_the_public_key_as_a_shared_secret_lets_nobody_in():
    """The oldest trick: HS256 with the text of a public key."""
    pem = serialize_key(KeyRecord("rs256", "RS256", PRIVATE_KEYS["RS256"].public_material()))[
        "material"
    ].encode()
    header = base64.urlsafe_b64encode(b'{"alg":"HS256","kid":"rs256"}').rstrip(b"=")
    claims = encode_json({"cdniuc": "regex:.*", "exp": NOW + 60}).encode()
    signature = base64.urlsafe_b64encode(hmac.new(pem, header + b"." + claims, hashlib.sha256).digest())
    token = b".".join([header, claims, signature.rstrip(b"=")]).decode()
    assert "is for RS256, not for HS256" in decide(token, "jwt").reason


def test_what_a_well_known_library_signs_is_read_and_the_other_way():
    claims = {"cdniuc": "regex://stops\\.example\\.org/map", "exp": NOW + 60}
    token = jwt.encode(claims, SECRET, "HS256", {"kid": "h1"})
    assert decide(token, "jwt").allowed
    ours = jwt_link(PRIVATE_KEYS["EdDSA"], "stops.example.org", "/map", NOW + 60)
    decoded = jwt.decode(
        ours, PRIVATE_KEYS["EdDSA"].public_material(), ["EdDSA"], options={"verify_exp": False}
    )
    assert decoded["exp"] == NOW + 60


@pytest.mark.parametrize(
    "token, token_format, message",
    [
        ("", "hmac", "no hmac"),
        ("x" * 5000, "jwt", "4096 at most"),
        ("a b", "jwt", "characters"),
        ("exp=1~acl=/map~hmac=00", "hmac", "kid is missing"),
        ("exp=x~acl=/a~kid=h1~hmac=00", "hmac", "whole number"),
        ("exp=1~exp=2~acl=/a~kid=h1~hmac=00", "hmac", "a field 'exp'"),
        ("~" * 40 + "~hmac=00", "hmac", "fields"),
        ("exp=1~acl=/a~kid=h1~hmac=zz", "hmac", "no hex"),
        ("exp=1~acl=/a~kid=h1~evil=1~hmac=00", "hmac", "'evil'"),
        ("a.b", "jwt", "expected header"),
        ("a.b.c", "policy", "expected policy"),
        ("!!.e30.", "jwt", "base64"),
        ("e30.e30.", "jwt", "alg and kid"),
        ("W10.e30.", "jwt", "no object"),
        ("e3t7.e30.", "jwt", "no JSON"),
        ("e30.EdDSA.k.AA", "policy", "no resource"),
        ("AB.EdDSA.k.AA", "policy", "mean nothing"),
        ("x", "morse", "not allowed"),
    ],
)
def test_malformed_tokens_are_denied_with_a_reason(token, token_format, message):
    verdict = decide(token, token_format)
    assert not verdict.allowed and message in verdict.reason


@pytest.mark.parametrize(
    "header, claims, message",
    [
        ({"alg": "HS256", "kid": "h1", "crit": ["x"]}, {}, "asks for more"),
        ({"alg": "HS256", "kid": "h1", "jku": "http://x"}, {}, "asks for more"),
        ({"alg": "none", "kid": "h1"}, {}, "'none' is not allowed"),
        ({"alg": ["HS256"]}, {}, "alg and kid"),
        ({"alg": "HS256", "kid": "h9"}, {}, "no key 'h9'"),
        (JWT_HEADER, {"exp": True}, "whole"),
        (JWT_HEADER, {"exp": 1.5}, "whole"),
        (JWT_HEADER, {"exp": -1}, "whole"),
        (JWT_HEADER, {"cdniv": 2}, "version"),
        (JWT_HEADER, {"cdnicrit": ["a"]}, "critical"),
        (JWT_HEADER, {"cdniuc": "all:"}, "container"),
        (JWT_HEADER, {"cdniip": 5}, "no text"),
        (JWT_HEADER, {}, "signature"),
    ],
)
def test_claims_and_headers_that_ask_for_trouble_are_denied(header, claims, message):
    token = f"{encode_json(header)}.{encode_json({'cdniuc': 'regex:.*', 'exp': NOW + 60, **claims})}.AA"
    verdict = decide(token, "jwt")
    assert not verdict.allowed and message in verdict.reason
    twice = base64.urlsafe_b64encode(b'{"alg":"none","alg":"HS256","kid":"h1"}').rstrip(b"=").decode()
    assert "twice" in decide(f"{twice}.e30.AA", "jwt").reason


# --- beside a slow plain checker ---


def reference_check(token, request, now):
    """The HMAC form in the plainest words: True only where everything is as it must be."""
    pieces = token.split("~hmac=")
    if len(pieces) != 2 or len(token) > 4096:
        return False
    expected = hmac.new(SECRET, pieces[0].encode("utf-8", "surrogatepass"), hashlib.sha256).hexdigest()
    if pieces[1].lower() != expected:
        return False
    fields = dict(part.split("=", 1) for part in pieces[0].split("~"))
    return (
        fields["kid"] == "h1"
        and int(fields["exp"]) + CLOCK_SKEW_SECONDS >= now
        and "/map" in fields["acl"].split("!")
        and request.path == "/map"
        and request.method in ("GET", "HEAD")
    )


ALPHABET = string.ascii_letters + string.digits + "~=!/.%*-_ \x00é"


@given(st.data())
@settings(max_examples=1500, deadline=None, derandomize=True)
def test_no_mutated_token_is_let_in_that_the_plain_checker_denies(data):
    token = hmac_link(HMAC_KEY, ["/map"], NOW + data.draw(st.integers(-100, 100)))
    for _ in range(data.draw(st.integers(0, 3))):
        position = data.draw(st.integers(0, len(token)))
        removed = data.draw(st.integers(0, 6))
        token = token[:position] + data.draw(st.text(ALPHABET, max_size=4)) + token[position + removed :]
    verdict = decide(token, "hmac")
    if verdict.allowed:
        assert reference_check(token, MAP_REQUEST, NOW)


@given(st.text(max_size=300), st.sampled_from(["hmac", "policy", "jwt"]))
@settings(max_examples=600, deadline=None, derandomize=True)
def test_no_text_is_let_in_or_breaks_anything(token, token_format):
    assert not decide(token, token_format).allowed


@given(st.sampled_from(["policy", "jwt"]), st.integers(0, 400), st.sampled_from(string.ascii_letters + "-_."))
@settings(max_examples=600, deadline=None, derandomize=True)
def test_no_token_with_one_character_changed_is_let_in(token_format, position, char):
    token = make_link(token_format)
    position %= len(token)
    changed = token[:position] + char + token[position + 1 :]
    assert changed == token or not decide(changed, token_format).allowed


# --- keys ---


def test_a_rotation_loses_no_link_and_a_revoked_key_lets_nobody_in():
    first, second = generate_key("k1", "HS256", SECRET, NOW), generate_key("k2", "HS256", SECRET[::-1], NOW)
    keys = KeySet([first])
    keys.activate("k1", NOW, force=True)
    old = hmac_link(keys.signing_key(NOW), ["/map"], NOW + 3600)
    with pytest.raises(SigningKeyError, match="last that signs"):
        keys.retire("k1", NOW, 3600)
    keys.add(second)
    with pytest.raises(SigningKeyError, match="published 0 s ago"):
        keys.activate("k2", NOW)
    assert keys.signing_key(NOW).id == "k1"
    keys.activate("k2", NOW + PROPAGATION_SECONDS)
    assert keys.signing_key(NOW + PROPAGATION_SECONDS).id == "k2"
    fresh = hmac_link(keys.signing_key(NOW + PROPAGATION_SECONDS), ["/map"], NOW + 3600)
    keys.retire("k1", NOW + PROPAGATION_SECONDS, 3600)
    for token in (old, fresh):
        assert decide(token, "hmac", now=NOW + 3000, keys=keys.verification_keys()).allowed
    late = decide(
        old,
        "hmac",
        now=NOW + PROPAGATION_SECONDS + 3600 + CLOCK_SKEW_SECONDS + 1,
        keys=keys.verification_keys(),
    )
    assert not late.allowed
    keys.revoke("k2", NOW)
    assert "revoked" in decide(fresh, "hmac", keys=keys.verification_keys()).reason
    with pytest.raises(SigningKeyError, match="no key is in use"):
        keys.signing_key(NOW + PROPAGATION_SECONDS)
    assert keys.remove_expired(NOW + 200_000) == ["k1"] and set(keys.by_id) == {"k2"}


@pytest.mark.parametrize("algorithm", ["HS256", "EdDSA", "ES256", "RS256"])
def test_a_key_that_was_written_reads_the_same_and_never_shows_itself(algorithm):
    key = generate_key("k", algorithm, SECRET, NOW)
    again = deserialize_key(json.loads(json.dumps(serialize_key(key))))
    assert verify(again, b"data", sign(key, b"data")) and not verify(again, b"other", sign(key, b"data"))
    assert SECRET.hex() not in repr(key) and "object" not in repr(key)
    assert "BEGIN PRIVATE KEY" in serialize_key(key)["material"] or algorithm == "HS256"
    public = KeyRecord("p", algorithm, key.public_material())
    assert algorithm == "HS256" or not public.can_sign()


@pytest.mark.parametrize(
    "change, message",
    [
        ({"algorithm": "none"}, "one of HS256|read"),
        ({"material": "00"}, "32 at least"),
        ({"id": "a b"}, "letters"),
        ({"state": "lost"}, "a state"),
        ({"not_after": 0}, "valid never"),
        ({"algorithm": "EdDSA"}, "another kind|read"),
        ({"material": "zz"}, "cannot be read"),
        ({"not_before": "x"}, "cannot be read"),
    ],
)
def test_what_is_no_key_is_told_without_its_material(change, message):
    import re

    row = {**serialize_key(generate_key("k", "HS256", SECRET, NOW)), **change}
    with pytest.raises(SigningKeyError) as error:
        KeySet([deserialize_key(row)])
    assert re.search(message, str(error.value)) and SECRET.hex()[:20] not in str(error.value)


def test_sets_refuse_twins_weak_keys_and_show_public_keys_only():
    with pytest.raises(SigningKeyError, match="two keys"):
        KeySet([HMAC_KEY, HMAC_KEY])
    with pytest.raises(SigningKeyError, match="lacks algorithm"):
        deserialize_key({"id": "k", "material": ""})
    from cryptography.hazmat.primitives.asymmetric import ec, rsa

    for algorithm, material in (
        ("RS256", rsa.generate_private_key(65537, 1024)),
        ("ES256", ec.generate_private_key(ec.SECP384R1())),
    ):
        with pytest.raises(SigningKeyError):
            keyring.check_key_material(algorithm, material)
    jwks = KEY_SET.jwks()["keys"]
    assert {jwk["kid"] for jwk in jwks} == {"eddsa", "es256", "rs256"} and not any("d" in jwk for jwk in jwks)
    assert isinstance(VERIFICATION_KEYS["h1"], VerificationKey) and address_in_networks(
        "2001:db8::1", ["2001:db8::/32"]
    )
    assert not address_in_networks("x", ["10.0.0.0/8"])
