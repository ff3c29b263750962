package scale

import (
	"fmt"
	"strings"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/keys"
)

// tenantsPerFile bounds the tenants of one declaration file; each file is one Apply.
const tenantsPerFile = 3000

// TenantKeyHash is the hash of a tenant's API key.
func TenantKeyHash(tenant int) string { return keys.Hash(fmt.Sprintf("key of tenant %d", tenant)) }

// TenantName is the name of a tenant by its number from 0.
func TenantName(tenant int) string { return fmt.Sprintf("tenant-%05d", tenant) }

// Declarations are the files of a plan, in the order to apply them.
func Declarations(plan Plan) []*v1.SourceFile {
	files := []*v1.SourceFile{{Name: "services.hzl", Text: serviceDeclarations(plan)}}
	for first := 0; first < plan.Tenants; first += tenantsPerFile {
		var text strings.Builder
		for tenant := first; tenant < min(first+tenantsPerFile, plan.Tenants); tenant++ {
			text.WriteString(TenantDeclaration(tenant, 0))
		}
		files = append(files, &v1.SourceFile{Name: fmt.Sprintf("tenants-%05d.hzl", first), Text: text.String()})
	}
	return files
}

// TenantDeclaration declares one tenant; different variants differ in its weight.
func TenantDeclaration(tenant, variant int) string {
	return fmt.Sprintf("tenant %s { api_key_hashes = [%q]; weight = %d; tokens_per_second = 2000000 tokens/s; concurrency = 20000 requests }\n",
		TenantName(tenant), TenantKeyHash(tenant), 1+variant%100)
}

// KindDeclaration declares the repeatable kind of a model; variants differ in worth.
func KindDeclaration(model, variant int) string {
	return fmt.Sprintf("kind %s { service = %s; worth = %d; deadline = 60s; repeatable = true; expected_prompt_tokens = 2000 tokens; expected_output_tokens = 467 tokens }\n",
		kindName(model), serviceName(model), 1+variant%1000)
}

func serviceDeclarations(plan Plan) string {
	var text strings.Builder
	for model := range plan.Models {
		fmt.Fprintf(&text, "model %s { version = %q; weights = 8000000B; profile = dense-70b-8 }\n", modelName(model), modelVersion)
		fmt.Fprintf(&text, "service %s { type = engine; model = %s }\n", serviceName(model), modelName(model))
		text.WriteString(KindDeclaration(model, 0))
		fmt.Fprintf(&text, "kind %s { service = %s; worth = 1; deadline = 60s; repeatable = false }\n", onceName(model), serviceName(model))
	}
	return text.String()
}
