//! Digests of account keys; the keys themselves are never stored.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// SHA-256 digest of a key, written as 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; 32]);

/// Returns the digest of a key that a caller presented.
pub fn digest_key(key: &str) -> KeyDigest {
    KeyDigest(Sha256::digest(key.as_bytes()).into())
}

impl TryFrom<String> for KeyDigest {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(&text, &mut bytes)
            .map_err(|error| format!("key digest is not 64 hexadecimal digits: {error}"))?;
        Ok(Self(bytes))
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        hex::encode(digest.0)
    }
}
