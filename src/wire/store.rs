//! The interface of the state service.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key with its value.
#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Item {
    /// The key; left out where the request names it.
    #[serde(default)]
    pub key: String,
    /// The value.
    #[serde(rename = "data")]
    pub value: Value,
    /// The revision of its last change.
    #[serde(rename = "stamp")]
    pub version: u64,
    /// The lease with which the key is deleted.
    #[serde(rename = "tenancy", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// A page of keys and values.
#[derive(Deserialize, Serialize)]
pub struct KeyValuePage {
    /// In the order of their keys.
    pub items: Vec<Item>,
    /// Whether there are keys after these.
    #[serde(default)]
    pub more: bool,
    /// The revision of the store that the page is no older than.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A key's version as a condition for a compare-and-swap.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The version it has to have; 0 if it must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// One change of a compare-and-swap.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(untagged)]
pub enum Change {
    /// Sets a key.
    Put {
        /// The key.
        #[serde(rename = "put")]
        key: String,
        /// Its value.
        #[serde(rename = "data")]
        value: Value,
        /// The lease with which it is deleted.
        #[serde(rename = "tenancy", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

impl Change {
    /// Sets a key that hangs on no lease.
    pub fn put(key: String, value: Value) -> Change {
        Change::Put {
            key,
            value,
            lease: None,
        }
    }

    /// The key that is changed.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { key, .. } | Change::Delete { key } => key,
        }
    }
}

/// Changes that are applied together if all conditions hold, or not at all.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct CompareAndSwap {
    /// Versions of keys.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// In the order in which they are applied.
    #[serde(rename = "apply")]
    pub changes: Vec<Change>,
}

/// The answer to a compare-and-swap, and to a read of a key that does not exist.
#[derive(Deserialize, Serialize, Default)]
pub struct CompareAndSwapResponse {
    /// The revision of the store.
    #[serde(rename = "ledger", default)]
    pub revision: u64,
    /// Keys of the conditions that do not hold.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A request for a lease.
#[derive(Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Milliseconds after which it expires unless it is renewed.
    pub ttl_ms: u64,
}

/// A lease that was granted.
#[derive(Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Its id.
    #[serde(rename = "tenancy")]
    pub lease: u64,
}

/// One change that a watch brings.
#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct WatchEvent {
    /// The key, if it was set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// The key, if it was deleted.
    #[serde(rename = "drop", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    /// Its value, if it was set.
    #[serde(rename = "data", default)]
    pub value: Value,
    /// The revision of the change.
    #[serde(rename = "stamp", default)]
    pub version: u64,
    /// The lease with which it is deleted.
    #[serde(rename = "tenancy", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// The answer to a watch.
#[derive(Deserialize, Serialize)]
pub struct WatchResponse {
    /// The revision to watch from next.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// In the order in which the changes were made.
    #[serde(rename = "news", default)]
    pub events: Vec<WatchEvent>,
}
