//! Messages of the state service's API.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;
use std::borrow::Cow;

/// A key with its value.
#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Item {
    /// The key; omitted in the response to a read of a single key.
    #[serde(default)]
    pub key: String,
    /// The value.
    #[serde(rename = "data")]
    pub value: Value,
    /// Store revision of the key's last change.
    #[serde(rename = "stamp")]
    pub version: u64,
    /// Lease that the key is attached to: the key is deleted when the lease ends.
    #[serde(rename = "tenancy", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// A key with its value as unparsed JSON, for readers that need few of the values.
#[derive(Deserialize, Debug)]
pub struct RawItem<'a> {
    /// The key.
    #[serde(borrow)]
    pub key: Cow<'a, str>,
    /// The value.
    #[serde(rename = "data", borrow)]
    pub value: &'a RawValue,
    /// Store revision of the key's last change.
    #[serde(rename = "stamp")]
    pub version: u64,
    /// Lease that the key is attached to.
    #[serde(rename = "tenancy", default)]
    pub lease: Option<u64>,
}

impl RawItem<'_> {
    /// Returns the item with its value parsed.
    ///
    /// # Errors
    /// The value is no JSON that can be represented.
    pub fn parse(&self) -> Result<Item, serde_json::Error> {
        Ok(Item {
            key: self.key.as_ref().into(),
            value: serde_json::from_str(self.value.get())?,
            version: self.version,
            lease: self.lease,
        })
    }
}

/// A page of keys with unparsed values.
#[derive(Deserialize)]
pub struct RawPage<'a> {
    /// Items, sorted by key.
    #[serde(borrow)]
    pub items: Vec<RawItem<'a>>,
    /// Whether more pages follow.
    #[serde(default)]
    pub more: bool,
    /// Store revision that the page is at least as new as.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A page of keys and values.
#[derive(Deserialize, Serialize)]
pub struct KeyValuePage {
    /// Items, sorted by key.
    pub items: Vec<Item>,
    /// Whether more pages follow.
    #[serde(default)]
    pub more: bool,
    /// Store revision that the page is at least as new as.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A condition of a compare-and-swap: the expected version of a key.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// Expected version of the key; 0 if the key must not exist.
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
        /// The value.
        #[serde(rename = "data")]
        value: Value,
        /// Lease that the key is attached to.
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
    /// Returns a change that sets a key without a lease.
    pub fn put(key: String, value: Value) -> Change {
        Change::Put {
            key,
            value,
            lease: None,
        }
    }

    /// Returns the key that is changed.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { key, .. } | Change::Delete { key } => key,
        }
    }
}

/// A transaction: all changes are applied if all conditions hold, and none otherwise.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct CompareAndSwap {
    /// Expected versions of keys.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// Changes, in the order in which they are applied.
    #[serde(rename = "apply")]
    pub changes: Vec<Change>,
}

/// Response to a compare-and-swap, and to a read of a key that does not exist.
#[derive(Deserialize, Serialize, Default)]
pub struct CompareAndSwapResponse {
    /// Revision of the store.
    #[serde(rename = "ledger", default)]
    pub revision: u64,
    /// Keys of the conditions that do not hold.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Error of a transaction that attaches a key to a lease that has ended.
pub const NO_SUCH_LEASE: &str = "no such lease";

/// Body of the response to a malformed request.
#[derive(Deserialize)]
pub struct ErrorResponse {
    /// What is wrong.
    pub error: String,
}

/// A request for a lease.
#[derive(Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time in milliseconds after which the lease expires unless it is renewed.
    pub ttl_ms: u64,
}

/// Response to a request for a lease that was granted.
#[derive(Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Id of the lease.
    #[serde(rename = "tenancy")]
    pub lease: u64,
}

/// One change reported by a watch.
#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct WatchEvent {
    /// The key, if the change sets it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// The key, if the change deletes it.
    #[serde(rename = "drop", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    /// The value, if the key was set.
    #[serde(rename = "data", default)]
    pub value: Value,
    /// Store revision of the change.
    #[serde(rename = "stamp", default)]
    pub version: u64,
    /// Lease that the key is attached to.
    #[serde(rename = "tenancy", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// Response to a watch.
#[derive(Deserialize, Serialize)]
pub struct WatchResponse {
    /// Revision from which to watch next.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// Changes, in the order in which they were made.
    #[serde(rename = "news", default)]
    pub events: Vec<WatchEvent>,
}
