//! The configuration objects that operators publish, and the validation of a single object.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::label::{Labels, Selector};

const NAME_MAX_BYTES: usize = 100;

/// A configuration object.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(tag = "kind", rename_all = "snake_case")]
#[non_exhaustive]
pub enum Object {
    /// A hall.
    Hall(Hall),
    /// A back end.
    Endpoint(Endpoint),
    /// A model and its current version.
    Model(Model),
    /// A client account.
    ClientAccount(ClientAccount),
    /// A routing rule.
    Rule(Rule),
}

/// A hall (zone): instances and endpoints that are located close to each other.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Hall {
    /// Name, unique among halls.
    pub name: String,
    /// Labels for selectors.
    #[serde(default)]
    pub labels: Labels,
    /// Region of the hall.
    pub region: String,
}

/// Role of an endpoint: model engine or plain service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum EndpointRole {
    /// A model engine.
    Engine {
        /// Capacity of the KV cache, in tokens. Must be positive.
        kv_capacity_tokens: u64,
        /// Number of models that can be loaded at the same time. Must be positive.
        #[serde(default = "one")]
        model_slots: u32,
        /// Whether the engine rejects orders whose fence is older than the newest it has seen.
        checks_fence: bool,
    },
    /// A plain service.
    Service {
        /// Name of the service in the request path.
        service: String,
    },
}

const fn one() -> u32 {
    1
}

/// A back end: a model engine or a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, schemars::JsonSchema)]
pub struct Endpoint {
    /// Name, unique among endpoints.
    pub name: String,
    /// Labels for selectors. The labels `endpoint`, `hall` and `region` are implied.
    #[serde(default)]
    pub labels: Labels,
    /// Name of the hall; it must be published.
    pub hall: String,
    /// IP address and port.
    pub address: String,
    /// Name of the plug-in that implements the endpoint's protocol.
    #[serde(default = "http_plugin")]
    pub plugin: String,
    /// Role of the endpoint.
    #[serde(flatten)]
    pub role: EndpointRole,
}

fn http_plugin() -> String {
    "http".to_owned()
}

/// A model.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name, unique among models.
    pub name: String,
    /// Labels for selectors. The label `model` is implied.
    #[serde(default)]
    pub labels: Labels,
    /// Version used for new generations.
    pub version: String,
    /// Size of the weights, in bytes.
    pub weights_bytes: u64,
    /// Maximum output length, in tokens. Must be positive.
    pub max_output_tokens: u32,
    /// Whether the same seed and version produce the same tokens on every engine.
    #[serde(default)]
    pub reproducible: bool,
    /// Minimum number of endpoints per hall that should have the model loaded.
    #[serde(default = "one")]
    pub replicas_per_hall: u32,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Name, unique among client accounts.
    pub name: String,
    /// Labels for selectors. The label `account` is implied.
    #[serde(default)]
    pub labels: Labels,
    /// BLAKE3 hash of the bearer key, in hexadecimal. The key itself is not published.
    pub key_blake3: String,
    /// Weight of the account relative to others when engines are fully used. Must be positive.
    #[serde(default = "one")]
    pub share: u32,
}

/// A routing rule: which workloads of which accounts may run on which endpoints, and at what
/// priority.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Name, unique among rules.
    pub name: String,
    /// Selects client accounts.
    #[serde(default)]
    pub accounts: Selector,
    /// Selects workloads: by the labels of the model, or by the label `service` with the name of
    /// the service.
    #[serde(default)]
    pub work: Selector,
    /// Selects the endpoints on which the workloads may run.
    #[serde(default)]
    pub endpoints: Selector,
    /// Priority; higher values are served first. If several rules match an endpoint, the highest
    /// priority applies.
    #[serde(default)]
    pub priority: i32,
}

/// Kind of a configuration object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// [`Hall`].
    Hall,
    /// [`Endpoint`].
    Endpoint,
    /// [`Model`].
    Model,
    /// [`ClientAccount`].
    ClientAccount,
    /// [`Rule`].
    Rule,
}

/// Key of a configuration object, in the text form `kind/name`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object, unique within its kind.
    pub name: String,
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Hall => "hall",
            Self::Endpoint => "endpoint",
            Self::Model => "model",
            Self::ClientAccount => "client_account",
            Self::Rule => "rule",
        })
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

impl From<ObjectKey> for String {
    fn from(key: ObjectKey) -> Self {
        key.to_string()
    }
}

impl TryFrom<String> for ObjectKey {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let malformed = || format!("object key {text:?} is not kind/name");
        let (kind, name) = text.split_once('/').ok_or_else(malformed)?;
        let kind = match kind {
            "hall" => ObjectKind::Hall,
            "endpoint" => ObjectKind::Endpoint,
            "model" => ObjectKind::Model,
            "client_account" => ObjectKind::ClientAccount,
            "rule" => ObjectKind::Rule,
            _ => return Err(malformed()),
        };
        Ok(Self {
            kind,
            name: name.to_owned(),
        })
    }
}

/// A field that failed validation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InvalidField {
    /// Key of the object, as text.
    pub object: String,
    /// Name of the field.
    pub field: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl fmt::Display for InvalidField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: field \"{}\": {}",
            self.object, self.field, self.allowed
        )
    }
}

impl Object {
    /// Returns the key of the object.
    #[must_use]
    pub fn key(&self) -> ObjectKey {
        let (kind, name) = match self {
            Self::Hall(hall) => (ObjectKind::Hall, &hall.name),
            Self::Endpoint(endpoint) => (ObjectKind::Endpoint, &endpoint.name),
            Self::Model(model) => (ObjectKind::Model, &model.name),
            Self::ClientAccount(account) => (ObjectKind::ClientAccount, &account.name),
            Self::Rule(rule) => (ObjectKind::Rule, &rule.name),
        };
        ObjectKey {
            kind,
            name: name.clone(),
        }
    }

    /// Validates the fields of the object, without regard to other objects.
    ///
    /// # Errors
    /// Returns the first invalid field.
    pub fn validate(&self) -> Result<(), InvalidField> {
        let key = self.key();
        let fail = |field: &str, allowed: &str| {
            Err(InvalidField {
                object: key.to_string(),
                field: field.to_owned(),
                allowed: allowed.to_owned(),
            })
        };
        if !is_valid_name(&key.name) {
            return fail(
                "name",
                "1 to 100 of the characters a-z, 0-9, '-', '_' and '.'",
            );
        }
        match self {
            Self::Hall(hall) if hall.region.is_empty() => fail("region", "must not be empty"),
            Self::Endpoint(endpoint) => validate_endpoint(endpoint, fail),
            Self::Model(model) if model.max_output_tokens == 0 => {
                fail("max_output_tokens", "must be positive")
            }
            Self::Model(model) if model.version.is_empty() => fail("version", "must not be empty"),
            Self::ClientAccount(account) if account.share == 0 => fail("share", "must be positive"),
            Self::ClientAccount(account)
                if blake3::Hash::from_hex(&account.key_blake3).is_err() =>
            {
                fail(
                    "key_blake3",
                    "64 hexadecimal digits; 'larkwick key' prints them",
                )
            }
            _ => Ok(()),
        }
    }
}

fn validate_endpoint(
    endpoint: &Endpoint,
    fail: impl Fn(&str, &str) -> Result<(), InvalidField>,
) -> Result<(), InvalidField> {
    if endpoint.address.parse::<std::net::SocketAddr>().is_err() {
        return fail("address", "an IP address and port, such as 10.0.0.7:8000");
    }
    match &endpoint.role {
        EndpointRole::Engine {
            kv_capacity_tokens: 0,
            ..
        } => fail("kv_capacity_tokens", "must be positive"),
        EndpointRole::Engine { model_slots: 0, .. } => fail("model_slots", "must be positive"),
        EndpointRole::Service { service } if !is_valid_name(service) => {
            fail("service", "a name such as fee-lookup")
        }
        _ => Ok(()),
    }
}

/// Returns whether the text is a valid object name.
///
/// The character set is restricted because names occur in paths, tickets and event ids.
#[must_use]
pub fn is_valid_name(text: &str) -> bool {
    let allowed = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_' | b'.')
    };
    !text.is_empty() && text.len() <= NAME_MAX_BYTES && text.bytes().all(allowed)
}
