use super::weights::ModelWeights;
use crate::server::{error_response, parse};
use dogwoodlb_http::{Request, Response};
use dogwoodlb_types::id;
use serde::Deserialize;

const DEFAULT_MAX_TOKENS: u32 = 256;

/// A parsed completion request.
pub(super) struct Job {
    pub(super) request: String,
    pub(super) model: id::Model,
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    pub(super) seed: u64,
    pub(super) priority: i64,
    pub(super) stream: bool,
    pub(super) chat: bool,
}

#[derive(Deserialize)]
struct Body {
    model: Option<id::Model>,
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u32>,
    #[serde(default)]
    seed: u64,
    #[serde(default)]
    priority: i64,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: String,
}

impl Job {
    /// Parses a request; an invalid one yields an error response.
    pub(super) fn new(
        request: &Request,
        chat: bool,
        weights: &ModelWeights,
    ) -> Result<Self, Response> {
        let body: Body = parse(request)?;
        let prompt = match (chat, body.prompt, body.messages) {
            (false, Some(prompt), _) => prompt,
            (true, _, Some(messages)) => messages
                .iter()
                .map(|message| format!("{}: {}\n", message.role, message.content))
                .collect(),
            _ => return Err(error_response(400, "bad_request", "the prompt is missing")),
        };
        let model = body.model.or_else(|| weights.only_model());
        let Some(model) = model.filter(|model| weights.contains(model)) else {
            return Err(error_response(
                404,
                "unknown_model",
                "the model is not served",
            ));
        };
        if weights.version(&model).is_none() {
            return Err(error_response(
                503,
                "no_weights",
                "the model has no weights",
            ));
        }
        Ok(Self {
            request: request.header("x-request-id").unwrap_or("").to_owned(),
            model,
            prompt,
            max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            seed: body.seed,
            priority: body.priority,
            stream: body.stream,
            chat,
        })
    }
}
