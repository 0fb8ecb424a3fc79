package org.zinniatack.process;

import java.util.List;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.key.Sha256Digest;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * The operators' keys that a process accepts, stored as SHA-256 digests.
 *
 * @param digests the digests of the keys
 */
public record OperatorKeys(List<Sha256Digest> digests) {

	private static final String BEARER_PREFIX = "Bearer ";

	/**
	 * Copies the list.
	 */
	public OperatorKeys {
		digests = List.copyOf(digests);
	}

	/**
	 * Returns the keys with the given digests.
	 * @param hexDigests the digests in hexadecimal
	 * @return the keys
	 */
	public static OperatorKeys of(List<String> hexDigests) {
		return new OperatorKeys(hexDigests.stream().map(Sha256Digest::new).toList());
	}

	/**
	 * Checks that the Authorization header of a call holds an operator's key.
	 * @param authorization the value of the header, or null if absent
	 * @throws ServiceException with OPERATOR_KEY_REQUIRED if the key is missing or
	 * unknown
	 */
	public void require(@Nullable String authorization) throws ServiceException {
		boolean known = authorization != null && authorization.startsWith(BEARER_PREFIX) && this.digests.stream()
			.anyMatch((digest) -> digest.matches(authorization.substring(BEARER_PREFIX.length())));
		if (!known) {
			throw ServiceException.of(ResultCode.OPERATOR_KEY_REQUIRED, "send an operator's key as a bearer token");
		}
	}

}
