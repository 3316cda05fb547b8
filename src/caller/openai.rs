//! Bodies in the customary `OpenAI` shape.

use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::daemon::request::{CallerRequest, GenerationParams, RequestedWork};
use crate::endpoint::protocol::FinishReason;
use crate::error::{Error, ErrorKind, Result};

/// A body that asks for a generation.
pub(super) trait Asks {
    /// The generation asked for.
    fn asked(self) -> Result<GenerationParams>;
}

/// Body of `/v1/completions`. Fields that larkwick does not know are ignored, as callers of this shape expect.
#[derive(Debug, Deserialize)]
pub(super) struct CompletionBody {
    model: String,
    prompt: String,
    max_tokens: Option<u32>,
    seed: Option<u64>,
    #[serde(default)]
    stream: bool,
}

/// Body of `/v1/chat/completions`.
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

fn check_max(max_tokens: Option<u32>) -> Result<()> {
    if max_tokens == Some(0) {
        return Err(Error::new(
            ErrorKind::BadRequest,
            "max_tokens: must be positive",
        ));
    }
    Ok(())
}

impl Asks for CompletionBody {
    fn asked(self) -> Result<GenerationParams> {
        check_max(self.max_tokens)?;
        Ok(GenerationParams {
            model: self.model,
            prompt: self.prompt,
            max_tokens: self.max_tokens,
            seed: self.seed,
            streamed: self.stream,
        })
    }
}

impl Asks for ChatBody {
    fn asked(self) -> Result<GenerationParams> {
        let max_tokens = self.max_completion_tokens.or(self.max_tokens);
        check_max(max_tokens)?;
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

/// Which of the two shapes an answer takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Shape {
    /// `/v1/completions`.
    Completion,
    /// `/v1/chat/completions`.
    Chat,
}

/// Builds the bodies of one answer.
#[derive(Debug, Clone)]
pub(super) struct Reply {
    shape: Shape,
    id: String,
    created: u64,
    model: String,
    /// Whether the caller asked for a stream; a resume is always one.
    pub(super) streamed: bool,
}

#[derive(Debug, Serialize)]
struct Body<'a> {
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

/// Tokens counted.
#[expect(clippy::struct_field_names, reason = "the names of the OpenAI shape")]
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct Usage {
    pub(super) prompt_tokens: u32,
    pub(super) completion_tokens: u32,
    pub(super) total_tokens: u32,
}

impl Reply {
    /// Bodies for a request's answer.
    pub(super) fn new(shape: Shape, request: &CallerRequest) -> Self {
        let (model, streamed) = match &request.work {
            RequestedWork::Generation(asked) => (asked.model.clone(), asked.streamed),
            RequestedWork::Resume { .. } | RequestedWork::Service { .. } => (String::new(), true),
        };
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            shape,
            id: format!("cmpl-{}", request.request_id),
            created: since_epoch.map_or(0, |since| since.as_secs()),
            model,
            streamed,
        }
    }

    fn body(&self, choice: Choice<'_>, object: &'static str, usage: Option<Usage>) -> String {
        let body = Body {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            choices: [choice],
            usage,
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// A piece of a streamed answer.
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
        let chat = self.shape == Shape::Chat;
        let choice = Choice {
            index: 0,
            text: (!chat).then_some(text),
            message: None,
            delta: chat.then_some(message),
            finish_reason: reason,
        };
        let object = if chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        self.body(choice, object, usage)
    }

    /// A whole answer.
    pub(super) fn whole(&self, text: &str, reason: FinishReason, usage: Usage) -> String {
        let message = Message {
            role: "assistant",
            content: text,
        };
        let chat = self.shape == Shape::Chat;
        let choice = Choice {
            index: 0,
            text: (!chat).then_some(text),
            message: chat.then_some(message),
            delta: None,
            finish_reason: Some(reason),
        };
        let object = if chat {
            "chat.completion"
        } else {
            "text_completion"
        };
        self.body(choice, object, Some(usage))
    }
}
