//! What a caller asks for, read from an HTTP request.

use std::io::Read;
use std::time::Duration;

use flaxtide_core::{
    ClassId, ClassProfile, FailureReason, OrganisationId, OrganisationProfile, PoolId,
    hash_key,
};
use serde_json::Value;
use tiny_http::{Method, Request};
use xxhash_rust::xxh3::xxh3_64;

use crate::view::SettingsView;

/// The header by which a caller names the class of a request.
const CLASS_HEADER: &str = "X-Request-Class";

/// The header by which a caller says how long it will wait for the first token, in
/// milliseconds.
const DEADLINE_HEADER: &str = "X-Deadline-Ms";

/// The header that names a request that may not be repeated.
pub(crate) const KEY_HEADER: &str = "Idempotency-Key";

/// The longest idempotency key, in bytes.
const LONGEST_KEY: usize = 200;

/// A token is about this many bytes of text.
const BYTES_PER_TOKEN: usize = 4;

/// The part of a prompt that is taken for its prefix, in bytes.
const PREFIX_BYTES: usize = 512;

/// A request that can be served, as far as can be told from itself.
#[derive(Debug, Clone)]
pub(crate) struct CallRequest {
    /// The organisation.
    pub(crate) organisation: OrganisationId,
    /// The organisation's name.
    pub(crate) organisation_name: String,
    /// The class.
    pub(crate) class: ClassId,
    /// What is in force for the class and the organisation.
    pub(crate) profile: ClassProfile,
    /// The pool that can serve it.
    pub(crate) pool: PoolId,
    /// The idempotency key, where the request may not be repeated.
    pub(crate) key: Option<String>,
    /// Whether it may run more than once.
    pub(crate) repeatable: bool,
    /// How long the caller will wait, if it said so.
    pub(crate) deadline: Option<Duration>,
    /// What is to be sent.
    pub(crate) payload: CallPayload,
    /// The hash of all that is to be sent.
    pub(crate) body_hash: u64,
}

/// What is to be sent to a backend server.
#[derive(Debug, Clone)]
pub(crate) enum CallPayload {
    /// A request to a language model.
    Completion(CompletionPayload),
    /// A call of a plain service.
    Plain(PlainPayload),
}

/// A request to a language model.
#[derive(Debug, Clone)]
pub(crate) struct CompletionPayload {
    /// The path, such as `/v1/chat/completions`.
    pub(crate) path: String,
    /// The model.
    pub(crate) model: String,
    /// The body.
    pub(crate) body: Value,
    /// Whether the caller wants a stream.
    pub(crate) stream: bool,
    /// How many tokens the prompt has, about.
    pub(crate) prompt_tokens: u32,
    /// The hash of the prompt's prefix.
    pub(crate) prefix: Option<u64>,
}

/// A call of a plain service.
#[derive(Debug, Clone)]
pub(crate) struct PlainPayload {
    /// The method.
    pub(crate) method: String,
    /// The path below the service, with its query.
    pub(crate) path: String,
    /// The type of the body.
    pub(crate) content_type: Option<String>,
    /// The body.
    pub(crate) body: Vec<u8>,
}

/// Why a request can't be served, with a message for people.
#[derive(Debug)]
pub(crate) struct RequestFault {
    /// The reason.
    pub(crate) reason: FailureReason,
    /// What is wrong.
    pub(crate) message: String,
}

/// What a request is for, before its class is known.
struct CallTarget<'a> {
    /// The pool that can serve it.
    pool: PoolId,
    /// The class that the target names.
    class: Option<&'a str>,
    /// Whether it may run more than once, if the target says.
    repeatable: Option<bool>,
    /// What is to be sent.
    payload: CallPayload,
    /// The hash of all that is to be sent.
    body_hash: u64,
}

impl CallRequest {
    /// Reads a request.
    pub(crate) fn read(
        request: &mut Request,
        view: &SettingsView,
    ) -> Result<Self, RequestFault> {
        let (organisation, owner) = authenticate(request, view)?;
        let body = read_body(request, owner)?;
        let (path, _) = split_url(request.url());
        let target = match path {
            "/v1/chat/completions" | "/v1/completions" => {
                read_completion(request, view, organisation, &body)?
            }
            _ if path.starts_with("/services/") => read_plain(request, view, body)?,
            _ => {
                let message = format!(
                    "there is no `{path}`; there are /v1/chat/completions, \
                     /v1/completions and /services/NAME/..."
                );
                return fault(FailureReason::UnknownTarget, message);
            }
        };
        let (class, profile) = find_class(request, view, owner, target.class)?;
        let repeatable = target.repeatable.unwrap_or(profile.repeatable);
        Ok(Self {
            organisation,
            organisation_name: owner.name.clone(),
            class,
            profile,
            pool: target.pool,
            key: read_key(request, repeatable)?,
            repeatable,
            deadline: read_deadline(request)?,
            payload: target.payload,
            body_hash: target.body_hash,
        })
    }
}

/// Reads what a request to a language model is for.
fn read_completion<'a>(
    request: &Request,
    view: &'a SettingsView,
    organisation: OrganisationId,
    body: &[u8],
) -> Result<CallTarget<'a>, RequestFault> {
    let path = split_url(request.url()).0.to_owned();
    if *request.method() != Method::Post {
        return fault(FailureReason::BadRequest, format!("`{path}` takes POST only"));
    }
    let parsed: Value = serde_json::from_slice(body).or_else(|cause| {
        fault(FailureReason::BadRequest, format!("the body isn't JSON: {cause}"))
    })?;
    let Some(model) = parsed["model"].as_str() else {
        return fault(FailureReason::BadRequest, "the body names no `model`".into());
    };
    let Some(pool) = view.model(model) else {
        return unknown("model", model, view.tree.models.keys());
    };
    let prompt = prompt_text(&parsed)?;
    let prefix = prompt.as_bytes().get(..PREFIX_BYTES);
    let payload = CompletionPayload {
        path,
        model: model.to_owned(),
        stream: parsed["stream"].as_bool().unwrap_or(false),
        prompt_tokens: (prompt.len() / BYTES_PER_TOKEN) as u32,
        prefix: prefix.map(|text| xxh3_64(text) ^ u64::from(organisation)),
        body: parsed,
    };
    Ok(CallTarget {
        pool,
        class: None,
        repeatable: None,
        payload: CallPayload::Completion(payload),
        body_hash: xxh3_64(body),
    })
}

/// Reads what a call of a plain service is for.
fn read_plain<'a>(
    request: &Request,
    view: &'a SettingsView,
    body: Vec<u8>,
) -> Result<CallTarget<'a>, RequestFault> {
    let rest = request.url().trim_start_matches("/services/");
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    let Some(pool) = view.service(name) else {
        return unknown("service", name, view.tree.services.keys());
    };
    let node = &view.tree.services[name];
    let reads = matches!(request.method(), Method::Get | Method::Head);
    let method = request.method().to_string();
    let mut hashed = format!("{method} {path}\n").into_bytes();
    hashed.extend(&body);
    let path = if path.starts_with('/') { path.into() } else { format!("/{path}") };
    let content_type = header(request, "Content-Type");
    let payload = PlainPayload { method, path, content_type, body };
    Ok(CallTarget {
        pool,
        class: node.class.as_deref(),
        repeatable: if reads { Some(true) } else { node.repeatable },
        payload: CallPayload::Plain(payload),
        body_hash: xxh3_64(&hashed),
    })
}

/// Returns a header's value.
pub(crate) fn header(request: &Request, name: &'static str) -> Option<String> {
    let field = request.headers().iter().find(|header| header.field.equiv(name))?;
    Some(field.value.as_str().to_owned())
}

/// Tells whether a request carries an idempotency key.
pub(crate) fn is_keyed(request: &Request) -> bool {
    header(request, KEY_HEADER).is_some()
}

/// Returns the hash of the key that a request carries.
pub(crate) fn key_hash(request: &Request) -> Option<String> {
    let value = header(request, "Authorization")?;
    let key = value.strip_prefix("Bearer ")?;
    Some(hash_key(key.trim()))
}

/// Splits a URL into its path and its query.
pub(crate) fn split_url(url: &str) -> (&str, &str) {
    url.split_once('?').unwrap_or((url, ""))
}

/// Finds the organisation of a request's key.
fn authenticate<'a>(
    request: &Request,
    view: &'a SettingsView,
) -> Result<(OrganisationId, &'a OrganisationProfile), RequestFault> {
    let Some(hash) = key_hash(request) else {
        return fault(FailureReason::UnknownKey, "the request carries no API key".into());
    };
    view.organisation(&hash).map_or_else(
        || fault(FailureReason::UnknownKey, "the API key belongs to nobody".into()),
        Ok,
    )
}

/// Reads a request's body, up to the organisation's limit.
fn read_body(
    request: &mut Request,
    profile: &OrganisationProfile,
) -> Result<Vec<u8>, RequestFault> {
    let limit = profile.body_bytes;
    let mut body = vec![];
    let read = request.as_reader().take(limit + 1).read_to_end(&mut body);
    if let Err(cause) = read {
        return fault(FailureReason::BadRequest, format!("the body broke off: {cause}"));
    }
    if body.len() as u64 > limit {
        let message = format!("the body is longer than {limit} bytes");
        return fault(FailureReason::BodyTooLong, message);
    }
    Ok(body)
}

/// Finds the class of a request: by its header, else the service's, else the
/// organisation's. The organisation's own first-token target goes before the class's.
fn find_class(
    request: &Request,
    view: &SettingsView,
    owner: &OrganisationProfile,
    service: Option<&str>,
) -> Result<(ClassId, ClassProfile), RequestFault> {
    let named = header(request, CLASS_HEADER);
    let name = named.as_deref().or(service).or(owner.class.as_deref());
    let Some(name) = name else {
        let message = format!("no class: send {CLASS_HEADER}, or set the organisation's");
        return fault(FailureReason::BadRequest, message);
    };
    let Some((class, profile)) = view.class(name) else {
        return unknown("class", name, view.tree.classes.keys());
    };
    let mut profile = profile.clone();
    if let Some(first_token) = owner.first_token {
        profile.give_up = profile.give_up.max(first_token);
        profile.first_token = first_token;
    }
    Ok((class, profile))
}

/// Reads the idempotency key. It counts only where the request may not be repeated, and
/// must be there then.
fn read_key(request: &Request, repeatable: bool) -> Result<Option<String>, RequestFault> {
    if repeatable {
        return Ok(None);
    }
    let Some(key) = header(request, KEY_HEADER) else {
        let message = format!("this request may not be repeated: send {KEY_HEADER}");
        return fault(FailureReason::BadRequest, message);
    };
    let plain = key.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'/');
    if key.is_empty() || key.len() > LONGEST_KEY || !plain {
        let message = format!(
            "{KEY_HEADER} takes 1 to {LONGEST_KEY} printable characters without /"
        );
        return fault(FailureReason::BadRequest, message);
    }
    Ok(Some(key))
}

/// Reads the caller's own deadline.
fn read_deadline(request: &Request) -> Result<Option<Duration>, RequestFault> {
    let Some(text) = header(request, DEADLINE_HEADER) else { return Ok(None) };
    match text.parse() {
        Ok(millis) if millis > 0 => Ok(Some(Duration::from_millis(millis))),
        _ => {
            let message = format!("{DEADLINE_HEADER} takes a number of milliseconds");
            fault(FailureReason::BadRequest, message)
        }
    }
}

/// Returns the prompt of a completion as one text.
fn prompt_text(body: &Value) -> Result<String, RequestFault> {
    if let Some(prompt) = body["prompt"].as_str() {
        return Ok(prompt.to_owned());
    }
    let Some(messages) = body["messages"].as_array() else {
        let message = "the body has neither `messages` nor `prompt`".into();
        return fault(FailureReason::BadRequest, message);
    };
    let texts = messages.iter().filter_map(|message| message["content"].as_str());
    Ok(texts.collect::<Vec<_>>().join("\n"))
}

/// Builds the fault of a name that the settings lack.
fn unknown<'a, T>(
    kind: &str,
    name: &str,
    known: impl Iterator<Item = &'a String>,
) -> Result<T, RequestFault> {
    let known: Vec<&str> = known.map(String::as_str).collect();
    let message = format!("no {kind} `{name}`; there are: {}", known.join(", "));
    fault(FailureReason::UnknownTarget, message)
}

/// Builds a fault.
fn fault<T>(reason: FailureReason, message: String) -> Result<T, RequestFault> {
    Err(RequestFault { reason, message })
}
