/** Configuration of the deployment, which operators always apply as a whole. */
package io.endiveshed.coordination.config;
