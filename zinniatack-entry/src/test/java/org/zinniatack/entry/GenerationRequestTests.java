package org.zinniatack.entry;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Test;

import org.zinniatack.core.config.Specification;
import org.zinniatack.core.result.ServiceException;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests of {@link GenerationRequest}.
 */
class GenerationRequestTests {

	private static String digest(String customer, String body, String pool) throws ServiceException {
		Specification.Route route = new Specification.Route(Specification.Protocol.ENGINE, pool, false, true,
				List.of());
		return GenerationRequest.parse(body.getBytes(StandardCharsets.UTF_8), false)
			.engineCall(customer, route, false)
			.identity()
			.digest();
	}

	// Guards against a request that ended targets and is unknown after a change of its
	// customer or route.
	@Test
	void aGenerationIsTheSameRequestForEachCustomerAndRoute() throws ServiceException {
		String body = "{\"model\":\"m\",\"prompt\":\"p\"}";
		assertThat(digest("b", body, "other"), is(digest("a", body, "pool")));
		assertThat(digest("a", body.replace("p\"}", "q\"}"), "pool"), is(not(digest("a", body, "pool"))));
	}

}
