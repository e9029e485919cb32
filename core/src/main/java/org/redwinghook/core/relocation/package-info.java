/** Selection and order of the running generations that move to other engines before their engine leaves. */
@NullMarked
package org.redwinghook.core.relocation;

import org.jspecify.annotations.NullMarked;
