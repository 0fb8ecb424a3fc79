/**
 * Training steps, the samples that fill them and the policy for reissuing slow samples.
 */
@NullMarked
package org.zinniatack.core.sample;

import org.jspecify.annotations.NullMarked;
