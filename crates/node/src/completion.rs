use dogwoodlb_types::{id, Code, Refusal};
use serde::Deserialize;
use serde_json::{json, Map, Value};
use xxhash_rust::xxh3::xxh3_64;

/// Length of the prompt prefix that is hashed to route to a replica with a warm prefix cache.
const PREFIX_BYTES: usize = 256;
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Typical size of a stream event that carries one token.
const CHUNK_BYTES: usize = 128;

/// The two API formats of a completion request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Chat,
    Text,
}

impl Kind {
    pub(crate) const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

/// A parsed and validated completion request.
#[derive(Clone, Debug)]
pub(crate) struct ModelRequest {
    pub(crate) kind: Kind,
    pub(crate) model: id::Model,
    pub(crate) stream: bool,
    max_tokens: u32,
    body: Map<String, Value>,
}

impl ModelRequest {
    /// Parses a caller's request. Unknown fields are forwarded to the engine.
    pub(crate) fn from_slice(kind: Kind, body: &[u8]) -> Result<Self, Refusal> {
        let body: Map<String, Value> = serde_json::from_slice(body).map_err(|error| {
            Refusal::not_run(
                Code::BadRequest,
                format!("request body is not a JSON object: {error}"),
            )
        })?;
        let model = field(&body, "model", Value::as_str)?
            .ok_or_else(|| missing("model"))?
            .parse()
            .map_err(|error| Refusal::not_run(Code::BadRequest, format!("`model`: {error}")))?;
        let input = match kind {
            Kind::Chat => field(&body, "messages", Value::as_array)?.map(|_| ()),
            Kind::Text => field(&body, "prompt", Value::as_str)?.map(|_| ()),
        };
        input.ok_or_else(|| {
            missing(if kind == Kind::Chat {
                "messages"
            } else {
                "prompt"
            })
        })?;
        let stream = field(&body, "stream", Value::as_bool)?.unwrap_or(false);
        let max_tokens = field(&body, "max_tokens", Value::as_u64)?;
        let max_tokens = match max_tokens.map(u32::try_from) {
            None => DEFAULT_MAX_TOKENS,
            Some(Ok(count)) if count > 0 => count,
            Some(_) => {
                let message = "`max_tokens` is out of range: expected 1 to 4294967295";
                return Err(Refusal::not_run(Code::BadRequest, message));
            }
        };
        Ok(Self {
            kind,
            model,
            stream,
            max_tokens,
            body,
        })
    }

    /// Creates the completion request of a sample.
    pub(crate) fn for_sample(model: &id::Model, prompt: &str, max_tokens: u32, seed: u64) -> Self {
        let mut body = Map::new();
        body.insert("model".to_owned(), json!(model.as_str()));
        body.insert("prompt".to_owned(), json!(prompt));
        body.insert("seed".to_owned(), json!(seed));
        Self {
            kind: Kind::Text,
            model: model.clone(),
            stream: false,
            max_tokens,
            body,
        }
    }

    /// Returns the hash of the start of the prompt, for prefix-cache-aware routing.
    pub(crate) fn prefix_hash(&self) -> u64 {
        let text = match self.kind {
            Kind::Text => self
                .body
                .get("prompt")
                .and_then(Value::as_str)
                .unwrap_or_default(),
            Kind::Chat => self
                .body
                .get("messages")
                .and_then(|messages| messages.get(0)?.get("content")?.as_str())
                .unwrap_or_default(),
        };
        xxh3_64(&text.as_bytes()[..text.len().min(PREFIX_BYTES)])
    }

    /// Returns the request body for an engine, which continues after `output` if there is any.
    ///
    /// Returns `None` if `output` already has `max_tokens` tokens.
    pub(crate) fn body(&self, priority: usize, output: &Output) -> Option<String> {
        let remaining = self
            .max_tokens
            .checked_sub(output.tokens)
            .filter(|count| *count > 0)?;
        let mut body = self.body.clone();
        body.insert("stream".to_owned(), json!(true));
        body.insert("max_tokens".to_owned(), json!(remaining));
        body.insert("priority".to_owned(), json!(priority));
        if output.tokens > 0 {
            self.continue_after(&mut body, &output.text);
        }
        Some(Value::Object(body).to_string())
    }

    /// Estimates the size of a complete response, including event framing.
    pub(crate) fn answer_bytes(&self) -> usize {
        (self.max_tokens as usize).saturating_mul(CHUNK_BYTES)
    }

    fn continue_after(&self, body: &mut Map<String, Value>, text: &str) {
        match self.kind {
            Kind::Text => {
                let prompt = body
                    .get("prompt")
                    .and_then(Value::as_str)
                    .unwrap_or_default();
                let prompt = format!("{prompt}{text}");
                body.insert("prompt".to_owned(), json!(prompt));
            }
            Kind::Chat => {
                if let Some(messages) = body.get_mut("messages").and_then(Value::as_array_mut) {
                    messages.push(json!({"role": "assistant", "content": text}));
                }
                body.insert("continue_final_message".to_owned(), json!(true));
                body.insert("add_generation_prompt".to_owned(), json!(false));
            }
        }
    }
}

/// Reads an optional field; a value of another type is a `bad_request`.
fn field<'a, T>(
    body: &'a Map<String, Value>,
    name: &str,
    read: impl Fn(&'a Value) -> Option<T>,
) -> Result<Option<T>, Refusal> {
    match body.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => read(value).map(Some).ok_or_else(|| {
            Refusal::not_run(Code::BadRequest, format!("`{name}` has the wrong type"))
        }),
    }
}

#[cold]
fn missing(name: &str) -> Refusal {
    Refusal::not_run(Code::BadRequest, format!("`{name}` is missing"))
}

/// The output generated for a request so far, across engines.
#[derive(Clone, Debug, Default)]
pub(crate) struct Output {
    pub(crate) text: String,
    pub(crate) tokens: u32,
    pub(crate) finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<Delta>,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

impl Output {
    /// Appends the text of a stream event; an event with text counts as one token.
    ///
    /// If an engine sends several tokens per event, the count is too low and a continuation on
    /// another engine may exceed `max_tokens`. Samples are never continued, and their token
    /// counts come from the engine's report.
    pub(crate) fn push(&mut self, event: &str) {
        let Ok(event) = serde_json::from_str::<Chunk>(event) else {
            return;
        };
        for choice in event.choices {
            let delta = choice.delta.and_then(|delta| delta.content);
            if let Some(text) = choice.text.or(delta).filter(|text| !text.is_empty()) {
                self.text.push_str(&text);
                self.tokens += 1;
            }
            self.finish_reason = choice.finish_reason.or(self.finish_reason.take());
        }
    }
}
