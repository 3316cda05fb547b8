//! Request and response bodies of the `OpenAI` API.

use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::daemon::request::{CallerRequest, GenerationParams, RequestedWork};
use crate::endpoint::protocol::FinishReason;
use crate::error::{Error, ErrorKind, Result};

/// A request body that describes a generation.
pub(super) trait IntoGenerationParams {
    /// Validates the body and converts it into generation parameters.
    fn into_generation_params(self) -> Result<GenerationParams>;
}

/// Request body of `/v1/completions`.
///
/// Unknown fields are ignored, as clients of the `OpenAI` API expect.
#[derive(Debug, Deserialize)]
pub(super) struct CompletionBody {
    model: String,
    prompt: String,
    max_tokens: Option<u32>,
    seed: Option<u64>,
    #[serde(default)]
    stream: bool,
}

/// Request body of `/v1/chat/completions`.
///
/// Unknown fields are ignored, as clients of the `OpenAI` API expect.
#[derive(Debug, Deserialize)]
pub(super) struct ChatBody {
    model: String,
    messages: Vec<ChatMessage>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    seed: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    role: String,
    content: ChatContent,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum ChatContent {
    Text(String),
    Parts(Vec<ChatPart>),
}

#[derive(Debug, Deserialize)]
struct ChatPart {
    #[serde(default)]
    text: String,
}

impl ChatContent {
    fn into_text(self) -> String {
        match self {
            Self::Text(text) => text,
            Self::Parts(parts) => parts.into_iter().map(|part| part.text).collect(),
        }
    }
}

fn validate_max_tokens(max_tokens: Option<u32>) -> Result<()> {
    if max_tokens == Some(0) {
        return Err(Error::new(
            ErrorKind::BadRequest,
            "max_tokens: must be positive",
        ));
    }
    Ok(())
}

impl IntoGenerationParams for CompletionBody {
    fn into_generation_params(self) -> Result<GenerationParams> {
        validate_max_tokens(self.max_tokens)?;
        Ok(GenerationParams {
            model: self.model,
            prompt: self.prompt,
            max_tokens: self.max_tokens,
            seed: self.seed,
            streamed: self.stream,
        })
    }
}

impl IntoGenerationParams for ChatBody {
    fn into_generation_params(self) -> Result<GenerationParams> {
        let max_tokens = self.max_completion_tokens.or(self.max_tokens);
        validate_max_tokens(max_tokens)?;
        if self.messages.is_empty() {
            return Err(Error::new(
                ErrorKind::BadRequest,
                "messages: must not be empty",
            ));
        }
        let single = self.messages.len() == 1;
        let lines = self.messages.into_iter().map(|message| {
            let text = message.content.into_text();
            if single {
                text
            } else {
                format!("{}: {text}", message.role)
            }
        });
        Ok(GenerationParams {
            model: self.model,
            prompt: lines.collect::<Vec<_>>().join("\n"),
            max_tokens,
            seed: self.seed,
            streamed: self.stream,
        })
    }
}

/// The format of a response body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ResponseFormat {
    /// Format of `/v1/completions`.
    Completion,
    /// Format of `/v1/chat/completions`.
    Chat,
}

/// Builds the bodies of one response.
#[derive(Debug, Clone)]
pub(super) struct ResponseBuilder {
    format: ResponseFormat,
    id: String,
    created: u64,
    model: String,
    /// Whether the response is streamed. A resumed generation always is.
    pub(super) streamed: bool,
}

#[derive(Debug, Serialize)]
struct ResponseBody<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Debug, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Message<'a>>,
    finish_reason: Option<FinishReason>,
}

#[derive(Debug, Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

/// Token usage of a generation.
#[expect(
    clippy::struct_field_names,
    reason = "the field names of the OpenAI API"
)]
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct Usage {
    pub(super) prompt_tokens: u32,
    pub(super) completion_tokens: u32,
    pub(super) total_tokens: u32,
}

impl ResponseBuilder {
    /// Creates a builder for the response to a request.
    pub(super) fn new(format: ResponseFormat, request: &CallerRequest) -> Self {
        let (model, streamed) = match &request.work {
            RequestedWork::Generation(params) => (params.model.clone(), params.streamed),
            RequestedWork::Resume { .. } | RequestedWork::Service { .. } => (String::new(), true),
        };
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            format,
            id: format!("cmpl-{}", request.request_id),
            created: since_epoch.map_or(0, |elapsed| elapsed.as_secs()),
            model,
            streamed,
        }
    }

    fn body(&self, choice: Choice<'_>, object: &'static str, usage: Option<Usage>) -> String {
        let body = ResponseBody {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            choices: [choice],
            usage,
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Builds the body of one chunk of a streamed response.
    pub(super) fn chunk(
        &self,
        text: &str,
        reason: Option<FinishReason>,
        usage: Option<Usage>,
    ) -> String {
        let message = Message {
            role: "assistant",
            content: text,
        };
        let is_chat = self.format == ResponseFormat::Chat;
        let choice = Choice {
            index: 0,
            text: (!is_chat).then_some(text),
            message: None,
            delta: is_chat.then_some(message),
            finish_reason: reason,
        };
        let object = if is_chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        self.body(choice, object, usage)
    }

    /// Builds the body of a response that is not streamed.
    pub(super) fn full(&self, text: &str, reason: FinishReason, usage: Usage) -> String {
        let message = Message {
            role: "assistant",
            content: text,
        };
        let is_chat = self.format == ResponseFormat::Chat;
        let choice = Choice {
            index: 0,
            text: (!is_chat).then_some(text),
            message: is_chat.then_some(message),
            delta: None,
            finish_reason: Some(reason),
        };
        let object = if is_chat {
            "chat.completion"
        } else {
            "text_completion"
        };
        self.body(choice, object, Some(usage))
    }
}
