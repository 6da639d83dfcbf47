"""Mutual authentication of the two ends of a link by the site's shared key.

Each side sends a hello with a nonce. The connecting side sends its proof
first, so that an unauthenticated client gets no signature to attack offline.
"""

import hashlib
import hmac

import attrs

from oriolegate.exceptions import PeerMessageError
from oriolegate.membership.messages import PeerHello
from oriolegate.membership.messages import PeerProof
from oriolegate.result_codes import ResultCode

NONCE_BYTES = 16
MIN_KEY_BYTES = 16
MAX_NAME_CHARACTERS = 256
# Prefix of the signed bytes.
PROOF_CONTEXT = b"oriolegate peer 1"


@attrs.frozen
class PeerIdentity:
    """Identity of this process and the key shared with its peers.

    Attributes:
        vm: Name of this VM.
        incarnation: Incarnation of this process.
        key: The shared key, at least `MIN_KEY_BYTES` long.
        other_keys: Keys that are also accepted from peers, for key rotation.
    """

    vm: str
    incarnation: int
    key: bytes = attrs.field(
        repr=False, validator=attrs.validators.min_len(MIN_KEY_BYTES)
    )
    other_keys: tuple[bytes, ...] = attrs.field(
        default=(),
        repr=False,
        validator=attrs.validators.deep_iterable(
            attrs.validators.min_len(MIN_KEY_BYTES)
        ),
    )


def compute_proof(key: bytes, prover: PeerHello, verifier: PeerHello) -> bytes:
    """Return the signature with which `prover` proves its key to `verifier`.

    The signature covers the names, incarnations and nonces of both sides with
    their lengths, so that a proof can't be replayed on another link or
    reflected.
    """
    signature = hmac.new(key, PROOF_CONTEXT, hashlib.sha256)
    for hello in (prover, verifier):
        for part in (
            hello.vm.encode(),
            str(hello.incarnation).encode(),
            hello.nonce,
        ):
            signature.update(len(part).to_bytes(4, "big") + part)
    return signature.digest()


def _unauthorized(message: str) -> PeerMessageError:
    return PeerMessageError(message, ResultCode.PEER_UNAUTHORIZED)


class PeerHandshake:
    """One side of the handshake of a link.

    Attributes:
        hello: First message that this side sends.
        peer: Hello of the peer, or None until received.
        complete: Whether the peer is authenticated.
    """

    def __init__(
        self, identity: PeerIdentity, nonce: bytes, dialed_vm: str | None
    ) -> None:
        """Create a handshake.

        Args:
            identity: Identity of this side.
            nonce: Fresh random bytes, `NONCE_BYTES` long.
            dialed_vm: Name of the expected peer on the connecting side, None
                on the accepting side.
        """
        self.identity = identity
        self.dialed_vm = dialed_vm
        self.hello = PeerHello(identity.vm, identity.incarnation, nonce)
        self.peer: PeerHello | None = None
        self.complete = False

    def receive(self, message: object) -> list[object]:
        """Handle one message and return the messages to send.

        Raises:
            PeerMessageError: If the peer fails authentication.
        """
        match message:
            case PeerHello() if self.peer is None:
                return self._receive_hello(message)
            case PeerProof() if self.peer is not None:
                return self._receive_proof(self.peer, message)
            case _:
                raise _unauthorized(
                    "peer sent an unexpected message before its proof"
                )

    def _receive_hello(self, hello: PeerHello) -> list[object]:
        if (
            len(hello.nonce) != NONCE_BYTES
            or not 0 < len(hello.vm) <= MAX_NAME_CHARACTERS
            or hello.vm == self.identity.vm
            or self.dialed_vm not in (None, hello.vm)
        ):
            raise _unauthorized("peer is not the VM that was expected")
        self.peer = hello
        if self.dialed_vm is None:
            return []
        return [self._proof_for(hello)]

    def _receive_proof(self, peer: PeerHello, proof: PeerProof) -> list[object]:
        keys = (self.identity.key, *self.identity.other_keys)
        matches = [
            hmac.compare_digest(
                compute_proof(key, peer, self.hello), proof.signature
            )
            for key in keys
        ]
        if not any(matches):
            raise _unauthorized(
                "peer does not have the site's key; check --peer-key"
            )
        self.complete = True
        if self.dialed_vm is None:
            return [self._proof_for(peer)]
        return []

    def _proof_for(self, peer: PeerHello) -> PeerProof:
        return PeerProof(compute_proof(self.identity.key, self.hello, peer))
