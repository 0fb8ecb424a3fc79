/**
 * Measurements: policies against their baselines under virtual time, costs of decisions
 * and of control, and the slopes from which the capacity page is worked out.
 */
@NullMarked
package org.zinniatack.bench;

import org.jspecify.annotations.NullMarked;
