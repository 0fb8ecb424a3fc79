package org.zinniatack.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;

import org.zinniatack.core.config.Configuration;
import org.zinniatack.core.config.Specification;
import org.zinniatack.core.key.Sha256Digest;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.sample.Sample;
import org.zinniatack.core.sample.StragglerPolicy;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.Reply;
import org.zinniatack.process.ErrorResponses;
import org.zinniatack.wire.Message;

/**
 * HTTP endpoints for the steps of trainers. A trainer submits groups of samples, fetches
 * the batch once it is complete, and then releases it. Every fetch returns the same
 * batch. Until the batch is complete, the step may be submitted again through any entry.
 */
@Controller("/v1/steps")
@Requires(beans = EntryService.class)
@Consumes("*/*")
final class StepController {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int MAXIMUM_SLOTS = 65_536;

	private static final double STRAGGLER_MEDIAN_MULTIPLE = 2;

	private static final double MAXIMUM_REISSUE_SHARE = 0.04;

	private static final long BATCH_RETRY_AFTER_MS = 200;

	private final EntryService entry;

	StepController(EntryService entry) {
		this.entry = entry;
	}

	@Post
	CompletableFuture<HttpResponse<?>> open(HttpRequest<?> http, @Body byte[] body) throws ServiceException {
		Configuration configuration = this.entry.configuration();
		CallerRequest.Principal principal = CallerAuthenticator.authenticate(configuration,
				CallerAuthenticator.keyOf(http));
		CallerAuthenticator.rejectKeyInRequest(CallerAuthenticator.keyOf(http), "", body);
		JsonNode document = GenerationRequest.readTree(body);
		String step = requiredText(document, "step");
		String model = requiredText(document, "model");
		Specification.Route route = CompletionController.engineRoute(configuration, model);
		CallerAuthenticator.authorize(configuration, route, CallerAuthenticator.keyOf(http));
		List<GenerationRequest> slots = slots(document, model);
		Command.OpenStep command = new Command.OpenStep(principal.customer(), step, route.pool(),
				Sha256Digest.of(document.toString()).hex(), slots.size(),
				configuration.policyOf(principal.customer()).sampleAgeBoundVersions());
		return this.entry.control()
			.propose(command)
			.<HttpResponse<?>>thenApply((reply) -> onOpened(reply, principal, route, step, slots))
			.exceptionally((failure) -> errorResponse(ControlLink.unwrap(failure)));
	}

	private HttpResponse<?> onOpened(Reply reply, CallerRequest.Principal principal, Specification.Route route,
			String step, List<GenerationRequest> slots) {
		try {
			List<Integer> missing = ((Reply.Slots) reply.orThrow()).missing();
			StragglerPolicy stragglers = StragglerPolicy.medianMultiple(slots.size(), STRAGGLER_MEDIAN_MULTIPLE,
					MAXIMUM_REISSUE_SHARE);
			this.entry.steps()
				.runner(principal.customer(), step,
						() -> new StepRunner(principal.customer(), step, new SlotSubmitter(principal, route, slots),
								this.entry.control(), stragglers, this.entry::nowMs))
				.generate(missing);
			return HttpResponse.accepted().body(Map.of("step", step, "slots", slots.size(), "missing", missing.size()));
		}
		catch (ServiceException ex) {
			return ErrorResponses.of(ex);
		}
	}

	@Get("/{step}/batch")
	CompletableFuture<HttpResponse<?>> batch(HttpRequest<?> http, String step) throws ServiceException {
		CallerRequest.Principal principal = CallerAuthenticator.authenticate(this.entry.configuration(),
				CallerAuthenticator.keyOf(http));
		return this.entry.control()
			.call(new Message.FetchBatch(principal.customer(), step))
			.<HttpResponse<?>>thenApply(
					(answer) -> HttpResponse.ok(new BatchBody(step, ((Message.Batch) answer).samples())))
			.exceptionally(
					(failure) -> errorResponse(batchFailure(ControlLink.unwrap(failure), principal.customer(), step)));
	}

	/**
	 * Replaces the error of an incomplete step by the reason why it was abandoned, if
	 * any.
	 */
	private Throwable batchFailure(Throwable failure, String customer, String step) {
		boolean incomplete = failure instanceof ServiceException known && known.code() == ResultCode.STEP_INCOMPLETE;
		Optional<ServiceException> abandonReason = this.entry.steps().abandonReason(customer, step);
		return (incomplete && abandonReason.isPresent()) ? abandonReason.get() : failure;
	}

	@Delete("/{step}")
	CompletableFuture<HttpResponse<?>> release(HttpRequest<?> http, String step) throws ServiceException {
		CallerRequest.Principal principal = CallerAuthenticator.authenticate(this.entry.configuration(),
				CallerAuthenticator.keyOf(http));
		return this.entry.control()
			.propose(new Command.ReleaseStep(principal.customer(), step))
			.<HttpResponse<?>>thenApply((reply) -> {
				try {
					reply.orThrow();
					return HttpResponse.noContent();
				}
				catch (ServiceException ex) {
					return ErrorResponses.of(ex);
				}
			})
			.exceptionally((failure) -> errorResponse(ControlLink.unwrap(failure)));
	}

	private static HttpResponse<?> errorResponse(Throwable failure) {
		if (failure instanceof ServiceException known) {
			boolean incomplete = known.code() == ResultCode.STEP_INCOMPLETE;
			return ErrorResponses.of(incomplete
					? ServiceException.retryable(known.code(), String.valueOf(known.getMessage()), BATCH_RETRY_AFTER_MS)
					: known);
		}
		return ErrorResponses.of(ServiceException.of(ResultCode.INTERNAL, String.valueOf(failure)));
	}

	private static String requiredText(JsonNode document, String field) throws ServiceException {
		if (!document.path(field).isTextual() || document.path(field).asText().isBlank()) {
			throw ServiceException.of(ResultCode.FIELD_INVALID, field + " must be a string that is not blank");
		}
		return document.path(field).asText();
	}

	private static List<GenerationRequest> slots(JsonNode document, String model) throws ServiceException {
		if (!document.path("groups").isArray() || document.path("groups").isEmpty()) {
			throw ServiceException.of(ResultCode.FIELD_INVALID, "groups must be an array that is not empty");
		}
		List<GenerationRequest> slots = new ArrayList<>();
		for (JsonNode group : document.path("groups")) {
			int samples = group.path("samples").asInt(0);
			if (samples < 1 || slots.size() + samples > MAXIMUM_SLOTS) {
				throw ServiceException.of(ResultCode.FIELD_INVALID,
						"samples must be at least 1 in each group and add up to at most " + MAXIMUM_SLOTS
								+ " in a step");
			}
			for (int sample = 0; sample < samples; sample++) {
				slots.add(slot(group, model, sample));
			}
		}
		return slots;
	}

	private static GenerationRequest slot(JsonNode group, String model, int sample) throws ServiceException {
		ObjectNode body = MAPPER.createObjectNode();
		body.put("model", model);
		body.put("prompt", requiredText(group, "prompt"));
		body.put("seed", sample);
		if (group.has("max_tokens")) {
			body.set("max_tokens", group.get("max_tokens"));
		}
		return GenerationRequest.parse(GenerationRequest.toJson(body), false);
	}

	/**
	 * The response body with the batch of a step.
	 *
	 * @param step the name of the step
	 * @param samples the samples in the order of their slots
	 */
	record BatchBody(String step, List<Sample> samples) {
	}

	private final class SlotSubmitter implements StepRunner.Submitter {

		private final CallerRequest.Principal principal;

		private final Specification.Route route;

		private final List<GenerationRequest> slots;

		SlotSubmitter(CallerRequest.Principal principal, Specification.Route route, List<GenerationRequest> slots) {
			this.principal = principal;
			this.route = route;
			this.slots = slots;
		}

		@Override
		public CallerRequest submit(int slot, AnswerSink sink) throws ServiceException {
			GenerationRequest generation = this.slots.get(slot);
			CallerRequest request = RequestFactory.create(StepController.this.entry, this.principal,
					generation.engineCall(this.principal.customer(), this.route, true), generation.maximumTokens(),
					true, sink);
			StepController.this.entry.dispatcher().submit(request, false);
			return request;
		}

		@Override
		public void cancel(CallerRequest request) {
			StepController.this.entry.dispatcher()
				.abort(request, ServiceException.of(ResultCode.ANSWER_CUT_SHORT,
						"another attempt for the same slot finished first"));
		}

	}

}
