"""Mutual proof that both ends of a link hold the site's shared key.

Each side sends a hello with a nonce. The side that connects proves first:
whoever merely connects gets no signature to attack offline.
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
PROOF_CONTEXT = b"oriolegate peer 1"


@attrs.frozen
class PeerIdentity:
    """Who this process is and the key that its peers share.

    Attributes:
        vm: Name of this VM.
        incarnation: Of this process.
        key: The shared key, at least `MIN_KEY_BYTES` long.
        other_keys: Keys that peers may prove as well, while a key is
            being replaced.
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


def proof_of(key: bytes, prover: PeerHello, verifier: PeerHello) -> bytes:
    """Return the signature with which `prover` answers `verifier`.

    Both names, incarnations and nonces are signed, with their lengths, so
    that a proof can't be replayed on another link or reflected.
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
    """One side of the handshake of one link.

    Attributes:
        hello: What this side sends first.
        peer: The other side's hello, once it came.
        complete: Whether the other side has proved itself.
    """

    def __init__(
        self, identity: PeerIdentity, nonce: bytes, dialed_vm: str | None
    ) -> None:
        """Make a handshake.

        Args:
            identity: Who this side is.
            nonce: Fresh random bytes, `NONCE_BYTES` long.
            dialed_vm: The expected peer if this side connects, else None.
        """
        self.identity = identity
        self.dialed_vm = dialed_vm
        self.hello = PeerHello(identity.vm, identity.incarnation, nonce)
        self.peer: PeerHello | None = None
        self.complete = False

    def receive(self, message: object) -> list[object]:
        """Take one message and return those to send.

        Raises:
            PeerMessageError: If the peer is not who it must be.
        """
        match message:
            case PeerHello() if self.peer is None:
                return self._receive_hello(message)
            case PeerProof() if self.peer is not None:
                return self._receive_proof(self.peer, message)
            case _:
                raise _unauthorized("peer sent a message before its proof")

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
                proof_of(key, peer, self.hello), proof.signature
            )
            for key in keys
        ]
        if not any(matches):
            raise _unauthorized(
                "peer does not hold the site's key; check --peer-key"
            )
        self.complete = True
        if self.dialed_vm is None:
            return [self._proof_for(peer)]
        return []

    def _proof_for(self, peer: PeerHello) -> PeerProof:
        return PeerProof(proof_of(self.identity.key, self.hello, peer))
