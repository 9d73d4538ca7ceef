//! Bearer tokens and their roles, read from a file that holds digests of the tokens.

use std::collections::BTreeMap;
use std::path::Path;

use ::http::HeaderMap;
use derive_more::{Display, Error};
use serde::Deserialize;
use sha2::{Digest, Sha256};

use super::http;
use crate::error::{self, Code};
use crate::state::document::is_name;

/// Result of loading a token file.
pub type Result<T> = std::result::Result<T, Fault>;

/// A token file that can't be read or is invalid.
#[derive(Debug, Display, Error)]
#[display("{path}: {detail}")]
pub struct Fault {
    path: String,
    detail: String,
}

/// Role that a token grants.
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

/// Roles by digest of the token.
#[derive(Clone, Debug)]
pub struct Table {
    // None if the settings allow access without tokens.
    roles: Option<BTreeMap<String, Role>>,
}

/// Length of a digest in hexadecimal characters.
const DIGEST_CHARS: usize = 64;

/// Customer of requests that name none, if access without tokens is allowed.
pub const DEFAULT_CUSTOMER: &str = "anyone";

impl Table {
    /// A table that allows access without tokens.
    pub fn open() -> Self {
        Self { roles: None }
    }

    /// Loads a token file.
    ///
    /// # Errors
    /// If the file can't be read or is invalid.
    pub fn load(path: &Path) -> Result<Self> {
        let load_error = |detail: String| Fault { path: path.display().to_string(), detail };
        let text = std::fs::read_to_string(path).map_err(|e| load_error(e.to_string()))?;
        Self::parse(&text).map_err(load_error)
    }

    /// Parses the text of a token file.
    ///
    /// # Errors
    /// A human-readable description of what is wrong.
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

    /// Checks that a request carries a caller's token and returns the customer of the caller.
    ///
    /// # Errors
    /// `unauthorized` or `forbidden`; if access without tokens is allowed, `bad_request` for a
    /// customer's name that is invalid.
    pub fn authorize_caller(&self, headers: &HeaderMap) -> error::Result<String> {
        if self.roles.is_none() {
            let customer =
                http::header_text(headers, "eelgrassvalve-customer")?.unwrap_or(DEFAULT_CUSTOMER);
            http::check_name("customer", customer)?;
            return Ok(customer.to_string());
        }
        match self.find_role(headers)? {
            Role::Caller(customer) => Ok(customer.clone()),
            _ => Err(forbidden_error("a caller")),
        }
    }

    /// Checks that a request carries a token of the required role.
    ///
    /// # Errors
    /// `unauthorized` or `forbidden`.
    pub fn authorize(&self, headers: &HeaderMap, required: &Role) -> error::Result<()> {
        if self.roles.is_none() {
            return Ok(());
        }
        if self.find_role(headers)? == required {
            return Ok(());
        }
        Err(forbidden_error(match required {
            Role::Caller(_) => "a caller",
            Role::Operator => "an operator",
            Role::Upstream => "an upstream",
            Role::Worker => "a worker",
        }))
    }

    fn find_role(&self, headers: &HeaderMap) -> error::Result<&Role> {
        let unauthorized = || error::Error::not_run(Code::Unauthorized, "no valid bearer token");
        let value =
            headers.get(::http::header::AUTHORIZATION).and_then(|value| value.to_str().ok());
        let token =
            value.and_then(|value| value.strip_prefix("Bearer ")).ok_or_else(unauthorized)?;
        let roles = self.roles.as_ref().ok_or_else(unauthorized)?;
        roles.get(&digest(token)).ok_or_else(unauthorized)
    }
}

fn forbidden_error(required: &str) -> error::Error {
    error::Error::not_run(Code::Forbidden, format!("the token is not that of {required}"))
}

/// Digest of a token as stored in the token file, in lower-case hexadecimal.
pub fn digest(token: &str) -> String {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(token.as_bytes()) {
        text.push_str(&format!("{byte:02x}"));
    }
    text
}
