//! Bearer tokens by role, from a file of digests.

use std::collections::BTreeMap;
use std::path::Path;

use ::http::HeaderMap;
use derive_more::{Display, Error};
use serde::Deserialize;
use sha2::{Digest, Sha256};

use super::http;
use crate::error::{self, Code};
use crate::state::document::is_name;

/// Result of reading a token file.
pub type Result<T> = std::result::Result<T, Unreadable>;

/// A token file that can't be used.
#[derive(Debug, Display, Error)]
#[display("{path}: {detail}")]
pub struct Unreadable {
    path: String,
    detail: String,
}

/// What a token permits.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Role {
    /// Calls on behalf of one customer.
    Caller(String),
    /// Operates the system.
    Operator,
    /// Announces upstreams.
    Upstream,
    /// Polls as a worker.
    Worker,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    token: Vec<Row>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Row {
    sha256: String,
    role: Role,
}

/// Roles by digest.
#[derive(Clone, Debug)]
pub struct Table {
    // None where the settings ask for open listeners.
    roles: Option<BTreeMap<String, Role>>,
}

/// Characters of a digest in hexadecimal.
const DIGEST_CHARS: usize = 64;

/// Customer of callers where no tokens are asked for, if their request names none.
pub const ANYONE: &str = "anyone";

impl Table {
    /// A table that lets everyone in.
    pub fn open() -> Self {
        Self { roles: None }
    }

    /// Reads a file of digests.
    ///
    /// # Errors
    /// Where it can't be read or is malformed.
    pub fn load(path: &Path) -> Result<Self> {
        let unreadable = |detail: String| Unreadable { path: path.display().to_string(), detail };
        let text = std::fs::read_to_string(path).map_err(|e| unreadable(e.to_string()))?;
        Self::parse(&text).map_err(unreadable)
    }

    /// Reads the text of a file of digests.
    ///
    /// # Errors
    /// What is wrong with it, for a person.
    pub fn parse(text: &str) -> std::result::Result<Self, String> {
        let file: File = toml::from_str(text).map_err(|e| e.to_string())?;
        let mut roles = BTreeMap::new();
        for (at, row) in file.token.into_iter().enumerate() {
            let digest = row.sha256.to_ascii_lowercase();
            if digest.len() != DIGEST_CHARS || !digest.bytes().all(|b| b.is_ascii_hexdigit()) {
                return Err(format!("token[{at}].sha256 is not {DIGEST_CHARS} hexadecimal digits"));
            }
            if let Role::Caller(customer) = &row.role
                && !is_name(customer)
            {
                return Err(format!("token[{at}].role: `{customer}` can't name a customer"));
            }
            if roles.insert(digest, row.role).is_some() {
                return Err(format!("token[{at}].sha256 stands twice"));
            }
        }
        Ok(Self { roles: Some(roles) })
    }

    /// The customer that a caller's request is bound to.
    ///
    /// # Errors
    /// `unauthorized` or `forbidden`; without tokens, `bad_request` for a malformed customer.
    pub fn customer(&self, headers: &HeaderMap) -> error::Result<String> {
        if self.roles.is_none() {
            let named = http::text(headers, "eelgrassvalve-customer")?.unwrap_or(ANYONE);
            http::check_name("customer", named)?;
            return Ok(named.to_string());
        }
        match self.role(headers)? {
            Role::Caller(customer) => Ok(customer.clone()),
            _ => Err(forbidden("a caller")),
        }
    }

    /// Checks that a request carries a token of this role.
    ///
    /// # Errors
    /// `unauthorized` or `forbidden`.
    pub fn check(&self, headers: &HeaderMap, wanted: &Role) -> error::Result<()> {
        if self.roles.is_none() {
            return Ok(());
        }
        if self.role(headers)? == wanted {
            return Ok(());
        }
        Err(forbidden(match wanted {
            Role::Caller(_) => "a caller",
            Role::Operator => "an operator",
            Role::Upstream => "an upstream",
            Role::Worker => "a worker",
        }))
    }

    fn role(&self, headers: &HeaderMap) -> error::Result<&Role> {
        let unauthorized = || error::Error::not_run(Code::Unauthorized, "no valid bearer token");
        let value =
            headers.get(::http::header::AUTHORIZATION).and_then(|value| value.to_str().ok());
        let token =
            value.and_then(|value| value.strip_prefix("Bearer ")).ok_or_else(unauthorized)?;
        let roles = self.roles.as_ref().ok_or_else(unauthorized)?;
        roles.get(&digest(token)).ok_or_else(unauthorized)
    }
}

fn forbidden(wanted: &str) -> error::Error {
    error::Error::not_run(Code::Forbidden, format!("the token is not that of {wanted}"))
}

/// Digest of a token as it stands in the file, in lower-case hexadecimal.
pub fn digest(token: &str) -> String {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(token.as_bytes()) {
        text.push_str(&format!("{byte:02x}"));
    }
    text
}
