//! The labelled objects that operators publish, and the checks that need nothing but the object.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::label::{Labels, Selector};

const NAME_MAX_BYTES: usize = 100;

/// A published object.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(tag = "kind", rename_all = "snake_case")]
#[non_exhaustive]
pub enum Object {
    /// A hall.
    Hall(Hall),
    /// A back end.
    Endpoint(Endpoint),
    /// A model and the version in force.
    Model(Model),
    /// A client account.
    ClientAccount(ClientAccount),
    /// Which work may run where, and at what priority.
    Rule(Rule),
}

/// A hall: instances and endpoints close to each other.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Hall {
    /// Unique among halls.
    pub name: String,
    /// For selectors.
    #[serde(default)]
    pub labels: Labels,
    /// Region the hall lies in.
    pub region: String,
}

/// What an endpoint serves.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum EndpointRole {
    /// A model engine.
    Engine {
        /// Memory for keys and values, in tokens. Positive.
        kv_capacity_tokens: u64,
        /// How many models fit at once. Positive.
        #[serde(default = "one")]
        model_slots: u32,
        /// Whether the engine refuses orders with a fence older than one it has seen.
        checks_fence: bool,
    },
    /// A plain service.
    Service {
        /// Name that callers use in the path.
        service: String,
    },
}

const fn one() -> u32 {
    1
}

/// A back end: model engine or plain service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, schemars::JsonSchema)]
pub struct Endpoint {
    /// Unique among endpoints.
    pub name: String,
    /// For selectors; `hall` and `endpoint` are implied.
    #[serde(default)]
    pub labels: Labels,
    /// Name of a published hall.
    pub hall: String,
    /// IP address and port.
    pub address: String,
    /// Plug-in that speaks to it.
    #[serde(default = "http_plugin")]
    pub plugin: String,
    /// What it serves.
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
    /// Unique among models.
    pub name: String,
    /// For selectors; `model` is implied.
    #[serde(default)]
    pub labels: Labels,
    /// Version that new generations use.
    pub version: String,
    /// Size of the weights, in bytes.
    pub weights_bytes: u64,
    /// Longest output, in tokens. Positive.
    pub max_output_tokens: u32,
    /// Whether the same seed and version give the same tokens on every engine.
    #[serde(default)]
    pub reproducible: bool,
    /// Endpoints that should hold the model at least, per hall.
    #[serde(default = "one")]
    pub replicas_per_hall: u32,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Unique among client accounts.
    pub name: String,
    /// For selectors; `account` is implied.
    #[serde(default)]
    pub labels: Labels,
    /// BLAKE3 hash of the bearer key, in hexadecimal. The key itself is never published.
    pub key_blake3: String,
    /// Share of crowded engines relative to other accounts. Positive.
    #[serde(default = "one")]
    pub share: u32,
}

/// Which work may run where, and at what priority.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Unique among rules.
    pub name: String,
    /// Client accounts it applies to.
    #[serde(default)]
    pub accounts: Selector,
    /// Work it applies to: labels of the model, or `service` = name.
    #[serde(default)]
    pub work: Selector,
    /// Endpoints the work may run on.
    #[serde(default)]
    pub endpoints: Selector,
    /// Higher goes first. Where several rules match an endpoint, the highest counts.
    #[serde(default)]
    pub priority: i32,
}

/// Kind of an object.
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

/// Identity of an object. Written `kind/name`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ObjectKey {
    /// Kind.
    pub kind: ObjectKind,
    /// Name, unique within the kind.
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
        let problem = || format!("object key {text:?} is not kind/name");
        let (kind, name) = text.split_once('/').ok_or_else(problem)?;
        let kind = match kind {
            "hall" => ObjectKind::Hall,
            "endpoint" => ObjectKind::Endpoint,
            "model" => ObjectKind::Model,
            "client_account" => ObjectKind::ClientAccount,
            "rule" => ObjectKind::Rule,
            _ => return Err(problem()),
        };
        Ok(Self {
            kind,
            name: name.to_owned(),
        })
    }
}

/// A field that fails a check.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InvalidField {
    /// Which object.
    pub object: String,
    /// Which field.
    pub field: String,
    /// What is allowed.
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
    /// The object's identity.
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

    /// Checks that need no other object. Gives the first field at fault.
    ///
    /// # Errors
    /// The field and what is allowed there.
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

/// Whether the text can name an object: it stands in paths, tickets and event ids.
#[must_use]
pub fn is_valid_name(text: &str) -> bool {
    let allowed = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_' | b'.')
    };
    !text.is_empty() && text.len() <= NAME_MAX_BYTES && text.bytes().all(allowed)
}
