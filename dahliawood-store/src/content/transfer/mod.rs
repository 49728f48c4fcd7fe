//! Uploads files to the store and downloads them.

use crate::client;
use dahliawood_model::FastMap;
use snafu::{OptionExt, ResultExt, Snafu};

/// Error when a file cannot be downloaded.
#[derive(Debug, Snafu)]
pub enum TransferError {
    /// A call failed.
    #[snafu(display("{source}"), context(false))]
    Store {
        /// The cause.
        source: client::error::StoreError,
    },
    /// The store does not hold the manifest or a part.
    #[snafu(display("the store does not hold {hash}"))]
    Absent {
        /// Hash of the missing manifest or part.
        hash: super::ContentHash,
    },
    /// A manifest cannot be parsed.
    #[snafu(display("the manifest of {hash} cannot be read"))]
    Manifest {
        /// Hash of the file.
        hash: super::ContentHash,
        /// The cause.
        source: serde_json::Error,
    },
    /// The store holds a text with another hash.
    #[snafu(display("{source}"), context(false))]
    Content {
        /// The cause.
        source: super::ContentError,
    },
}

/// Writes a file: first its parts, then its manifest. Parts and manifests that the store already
/// holds are kept.
///
/// # Errors
///
/// Returns the error of the first call that fails; the same file can be written again.
///
/// # Panics
///
/// Never: a manifest always serializes to JSON.
pub async fn upload(
    client: &client::StoreClient,
    text: &str,
) -> Result<super::ContentHash, client::error::StoreError> {
    let hash = super::ContentHash::of(text);
    let (manifest, parts) = super::split(text);
    for part in parts {
        put_if_absent(client, part_key(&part.hash), part.text).await?;
    }
    let manifest = serde_json::to_string(&manifest).expect("a manifest serializes to JSON");
    put_if_absent(client, manifest_key(&hash), manifest).await?;
    Ok(hash)
}

/// Reads a file; parts contained in the texts of `known` are not read from the store.
///
/// # Errors
///
/// See [`TransferError`].
pub async fn download(
    client: &client::StoreClient,
    hash: &super::ContentHash,
    known: &[&str],
) -> Result<String, TransferError> {
    let entry = (client.get)(manifest_key(hash)).await?;
    let value = entry.value.context(AbsentSnafu { hash: hash.clone() })?;
    let manifest = serde_json::from_str(&value).context(ManifestSnafu { hash: hash.clone() })?;
    let text = match manifest {
        super::ContentManifest::Inline(text) => text,
        super::ContentManifest::Parts(hashes) => assemble(client, &hashes, known).await?,
    };
    super::verify(hash, &text)?;
    Ok(text)
}

async fn assemble(
    client: &client::StoreClient,
    hashes: &[super::ContentHash],
    known: &[&str],
) -> Result<String, TransferError> {
    let known_parts: FastMap<super::ContentHash, String> = known
        .iter()
        .flat_map(|text| super::split(text).1)
        .map(|super::ContentPart { hash, text }| (hash, text))
        .collect();
    let mut text = String::new();
    for hash in hashes {
        match known_parts.get(hash) {
            Some(part) => text.push_str(part),
            None => text.push_str(&read_part(client, hash).await?),
        }
    }
    Ok(text)
}

async fn read_part(
    client: &client::StoreClient,
    hash: &super::ContentHash,
) -> Result<String, TransferError> {
    let entry = (client.get)(part_key(hash)).await?;
    entry.value.context(AbsentSnafu { hash: hash.clone() })
}

async fn put_if_absent(
    client: &client::StoreClient,
    key: String,
    value: String,
) -> Result<(), client::error::StoreError> {
    let call = client::PutCall {
        key,
        value,
        expected: Some(0),
        lease: None,
    };
    match (client.put)(call).await {
        // The key contains the hash of its value, so a conflict means that the same value is
        // already there.
        Ok(_) | Err(client::error::StoreError::Conflict { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}

fn manifest_key(hash: &super::ContentHash) -> String {
    format!("dahliawood/file/{hash}")
}

fn part_key(hash: &super::ContentHash) -> String {
    format!("dahliawood/part/{hash}")
}
