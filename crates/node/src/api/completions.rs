//! The HTTP endpoints for completions of models.

use super::{find_caller, forbidden, respond, Api, RequestContext, RouteResult};
use crate::completion::{Kind, ModelRequest, Output};
use crate::generate;
use crate::waiter::{StreamCaller, Waiter};
use dogwoodlb_http::{sse, Request, Responder, Response};
use dogwoodlb_types::{Class, Code, Refusal};
use serde_json::{json, Value};
use std::ops::ControlFlow;

impl Api {
    pub(super) fn complete(
        &self,
        kind: Kind,
        request: &Request,
        responder: Responder,
    ) -> RouteResult {
        let context = match self.context(request) {
            Ok(context) => context,
            Err(refusal) => return Err((refusal, responder)),
        };
        let checked = self.check_model(kind, request);
        let (model_request, class) = match checked {
            Ok(checked) => checked,
            Err(refusal) => {
                // The class may be unknown, so the refusal is counted as a customer's.
                self.0
                    .count_request(Class::Customer, context.started_at, Some(&refusal));
                return Err((refusal, responder));
            }
        };
        if model_request.stream {
            let caller = StreamCaller::new(responder);
            let call = model_call(&context, class, &model_request, &caller);
            return self.stream(&call, &context, &caller);
        }
        let call = model_call(&context, class, &model_request, &responder);
        let result = self.0.generate(&call, &mut |_| ControlFlow::Continue(()));
        self.0
            .count_request(class, context.started_at, result.as_ref().err());
        let response =
            result.map(|answer| completion_response(&context.request_id, &model_request, answer));
        respond(response, responder)
    }

    fn check_model(&self, kind: Kind, request: &Request) -> Result<(ModelRequest, Class), Refusal> {
        let manifest = self.0.manifest()?;
        let caller = find_caller(&manifest, request)?;
        let model_request = ModelRequest::from_slice(kind, &request.body)?;
        if !manifest
            .models
            .iter()
            .any(|entry| entry.model == model_request.model)
        {
            let message = format!("model `{}` is not in the manifest", model_request.model);
            return Err(Refusal::not_run(Code::UnknownModel, message));
        }
        if !caller.models.contains(&model_request.model) {
            return Err(forbidden(
                &caller.caller,
                "model",
                model_request.model.as_str(),
            ));
        }
        Ok((model_request, caller.class))
    }

    /// Streams a response.
    ///
    /// The response head is sent with the first event, so that an earlier failure can still be
    /// reported with an HTTP status.
    fn stream(
        &self,
        call: &generate::ModelCall<'_>,
        context: &RequestContext,
        caller: &StreamCaller,
    ) -> RouteResult {
        let result = self.0.generate(call, &mut |event| {
            if let Some(responder) = caller.responder.take() {
                let elapsed = self.0.now().saturating_since(context.started_at);
                self.0
                    .metrics
                    .time("first_event.ms", call.class.as_str(), elapsed);
                let headers = [
                    ("content-type", "text/event-stream"),
                    ("cache-control", "no-store"),
                    ("x-request-id", context.request_id.as_str()),
                ];
                caller.stream.replace(Some(responder.stream(200, &headers)));
            }
            let stream = caller.stream.borrow();
            match stream
                .as_ref()
                .map(|stream| stream.write(&sse::encode_event(event)))
            {
                Some(Ok(())) => ControlFlow::Continue(()),
                _ => ControlFlow::Break(()),
            }
        });
        self.0
            .count_request(call.class, context.started_at, result.as_ref().err());
        match (result, caller.stream.take(), caller.responder.take()) {
            (Ok(_), Some(stream), _) => {
                // Fails only if the client has disconnected.
                let _ = stream.finish();
                Ok(())
            }
            (Err(refusal), None, Some(responder)) => Err((refusal, responder)),
            // Abort the stream; the client sees an incomplete body.
            _ => Ok(()),
        }
    }
}

fn model_call<'a>(
    context: &'a RequestContext,
    class: Class,
    model_request: &'a ModelRequest,
    waiter: &'a dyn Waiter,
) -> generate::ModelCall<'a> {
    generate::ModelCall {
        request_id: &context.request_id,
        class,
        priority: class.rank(),
        deadline: context.deadline,
        model_request,
        resume: true,
        waiter,
    }
}

/// Builds the response of a completion without streaming.
fn completion_response(
    request_id: &str,
    model_request: &ModelRequest,
    answer: generate::Answer,
) -> Response {
    let Output {
        text,
        tokens,
        finish_reason,
    } = answer.output;
    let (object, choice) = match model_request.kind {
        Kind::Text => ("text_completion", json!({ "index": 0, "text": text })),
        Kind::Chat => {
            let message = json!({ "role": "assistant", "content": text });
            ("chat.completion", json!({ "index": 0, "message": message }))
        }
    };
    let mut choice = choice;
    choice["finish_reason"] = finish_reason.map_or(Value::Null, Value::String);
    let body = json!({
        "id": request_id,
        "object": object,
        "model": model_request.model,
        "choices": [choice],
        "usage": { "completion_tokens": tokens },
        "dogwood": {
            "request_id": request_id,
            "spans": answer.report.spans,
            "tokens": answer.report.tokens,
            "continued": answer.continued,
        },
    });
    Response::json(200, &body).header("x-request-id", request_id)
}
