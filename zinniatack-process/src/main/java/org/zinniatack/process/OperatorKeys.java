package org.zinniatack.process;

import java.util.List;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.key.Sha256Digest;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * The operators' keys of a process, held as digests.
 *
 * @param digests the digests of the keys
 */
public record OperatorKeys(List<Sha256Digest> digests) {

	private static final String SCHEME = "Bearer ";

	/**
	 * Copies the argument.
	 */
	public OperatorKeys {
		digests = List.copyOf(digests);
	}

	/**
	 * Returns the keys of digests in hexadecimal.
	 * @param hexDigests the digests
	 * @return the keys
	 */
	public static OperatorKeys of(List<String> hexDigests) {
		return new OperatorKeys(hexDigests.stream().map(Sha256Digest::new).toList());
	}

	/**
	 * Checks the authorization header of a call.
	 * @param authorization the header, or null if absent
	 * @throws ServiceException with OPERATOR_KEY_REQUIRED unless it holds an operator's
	 * key
	 */
	public void require(@Nullable String authorization) throws ServiceException {
		boolean known = authorization != null && authorization.startsWith(SCHEME)
				&& this.digests.stream().anyMatch((digest) -> digest.matches(authorization.substring(SCHEME.length())));
		if (!known) {
			throw ServiceException.of(ResultCode.OPERATOR_KEY_REQUIRED, "send an operator's key as a bearer token");
		}
	}

}
