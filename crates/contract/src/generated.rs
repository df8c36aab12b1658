#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = r" Error types."]
pub mod error {
    #[doc = r" Error from a `TryFrom` or `FromStr` implementation."]
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
#[doc = "An operator or a group of operators, and the keys that name them."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"An operator or a group of operators, and the keys that name them.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"keys\","]
#[doc = "    \"name\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"keys\": {"]
#[doc = "      \"description\": \"Digests of the bearer keys that name this operator.\","]
#[doc = "      \"type\": \"array\","]
#[doc = "      \"items\": {"]
#[doc = "        \"$ref\": \"#/definitions/Key\""]
#[doc = "      }"]
#[doc = "    },"]
#[doc = "    \"name\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Access {
    #[doc = "Digests of the bearer keys that name this operator."]
    pub keys: ::std::vec::Vec<Key>,
    pub name: ::std::string::String,
}
impl ::std::convert::From<&Access> for Access {
    fn from(value: &Access) -> Self {
        value.clone()
    }
}
#[doc = "`Budget`"]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"micros\","]
#[doc = "    \"period_s\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"micros\": {"]
#[doc = "      \"description\": \"Micro-units of money per period.\","]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"period_s\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    #[doc = "Micro-units of money per period."]
    pub micros: u64,
    pub period_s: u64,
}
impl ::std::convert::From<&Budget> for Budget {
    fn from(value: &Budget) -> Self {
        value.clone()
    }
}
#[doc = "What one customer may use, expects and may spend."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"What one customer may use, expects and may spend.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"customer\","]
#[doc = "    \"keys\","]
#[doc = "    \"models\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"customer\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"keys\": {"]
#[doc = "      \"description\": \"Digests of the bearer keys that name this customer.\","]
#[doc = "      \"type\": \"array\","]
#[doc = "      \"items\": {"]
#[doc = "        \"$ref\": \"#/definitions/Key\""]
#[doc = "      }"]
#[doc = "    },"]
#[doc = "    \"models\": {"]
#[doc = "      \"description\": \"Allowed models (`large`) and versions (`small@1`).\","]
#[doc = "      \"type\": \"array\","]
#[doc = "      \"items\": {"]
#[doc = "        \"type\": \"string\""]
#[doc = "      }"]
#[doc = "    },"]
#[doc = "    \"priority\": {"]
#[doc = "      \"description\": \"0 is served first under overload, 9 last.\","]
#[doc = "      \"default\": 5,"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint8\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"services\": {"]
#[doc = "      \"description\": \"Allowed plain services.\","]
#[doc = "      \"default\": [],"]
#[doc = "      \"type\": \"array\","]
#[doc = "      \"items\": {"]
#[doc = "        \"type\": \"string\""]
#[doc = "      }"]
#[doc = "    },"]
#[doc = "    \"spend\": {"]
#[doc = "      \"$ref\": \"#/definitions/Budget\""]
#[doc = "    },"]
#[doc = "    \"tasks\": {"]
#[doc = "      \"default\": {},"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"additionalProperties\": {"]
#[doc = "        \"$ref\": \"#/definitions/Task\""]
#[doc = "      }"]
#[doc = "    },"]
#[doc = "    \"weight\": {"]
#[doc = "      \"description\": \"Fair share relative to other customers.\","]
#[doc = "      \"default\": 1,"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint32\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    pub customer: ::std::string::String,
    #[doc = "Digests of the bearer keys that name this customer."]
    pub keys: ::std::vec::Vec<Key>,
    #[doc = "Allowed models (`large`) and versions (`small@1`)."]
    pub models: ::std::vec::Vec<::std::string::String>,
    #[doc = "0 is served first under overload, 9 last."]
    #[serde(default = "defaults::default_u64::<u8, 5>")]
    pub priority: u8,
    #[doc = "Allowed plain services."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub services: ::std::vec::Vec<::std::string::String>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub spend: ::std::option::Option<Budget>,
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub tasks: ::std::collections::BTreeMap<::std::string::String, Task>,
    #[doc = "Fair share relative to other customers."]
    #[serde(default = "defaults::default_u64::<u32, 1>")]
    pub weight: u32,
}
impl ::std::convert::From<&Contract> for Contract {
    fn from(value: &Contract) -> Self {
        value.clone()
    }
}
#[doc = "`Key`"]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"id\","]
#[doc = "    \"sha256\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"id\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"sha256\": {"]
#[doc = "      \"description\": \"Hexadecimal digest of the key.\","]
#[doc = "      \"type\": \"string\""]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Key {
    pub id: ::std::string::String,
    #[doc = "Hexadecimal digest of the key."]
    pub sha256: ::std::string::String,
}
impl ::std::convert::From<&Key> for Key {
    fn from(value: &Key) -> Self {
        value.clone()
    }
}
#[doc = "A node of the fleet."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"A node of the fleet.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"http\","]
#[doc = "    \"incarnation\","]
#[doc = "    \"link\","]
#[doc = "    \"node\","]
#[doc = "    \"zone\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"http\": {"]
#[doc = "      \"description\": \"Address for callers and operators, ip:port.\","]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"incarnation\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"leaving\": {"]
#[doc = "      \"default\": false,"]
#[doc = "      \"type\": \"boolean\""]
#[doc = "    },"]
#[doc = "    \"link\": {"]
#[doc = "      \"description\": \"Address for other nodes, ip:port.\","]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"node\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"zone\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Member {
    #[doc = "Address for callers and operators, ip:port."]
    pub http: ::std::string::String,
    pub incarnation: u64,
    #[serde(default)]
    pub leaving: bool,
    #[doc = "Address for other nodes, ip:port."]
    pub link: ::std::string::String,
    pub node: ::std::string::String,
    pub zone: ::std::string::String,
}
impl ::std::convert::From<&Member> for Member {
    fn from(value: &Member) -> Self {
        value.clone()
    }
}
#[doc = "`Model`"]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"name\","]
#[doc = "    \"versions\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"name\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"versions\": {"]
#[doc = "      \"type\": \"array\","]
#[doc = "      \"items\": {"]
#[doc = "        \"$ref\": \"#/definitions/Version\""]
#[doc = "      }"]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Model {
    pub name: ::std::string::String,
    pub versions: ::std::vec::Vec<Version>,
}
impl ::std::convert::From<&Model> for Model {
    fn from(value: &Model) -> Self {
        value.clone()
    }
}
#[doc = "One object of the configuration."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"title\": \"Object\","]
#[doc = "  \"description\": \"One object of the configuration.\","]
#[doc = "  \"oneOf\": ["]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"contract\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"contract\": {"]
#[doc = "          \"$ref\": \"#/definitions/Contract\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    },"]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"model\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"model\": {"]
#[doc = "          \"$ref\": \"#/definitions/Model\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    },"]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"service\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"service\": {"]
#[doc = "          \"$ref\": \"#/definitions/Service\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    },"]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"withdrawal\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"withdrawal\": {"]
#[doc = "          \"$ref\": \"#/definitions/Withdrawal\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    },"]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"rollout\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"rollout\": {"]
#[doc = "          \"$ref\": \"#/definitions/Rollout\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    },"]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"zone\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"zone\": {"]
#[doc = "          \"$ref\": \"#/definitions/Zone\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    },"]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"member\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"member\": {"]
#[doc = "          \"$ref\": \"#/definitions/Member\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    },"]
#[doc = "    {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"required\": ["]
#[doc = "        \"access\""]
#[doc = "      ],"]
#[doc = "      \"properties\": {"]
#[doc = "        \"access\": {"]
#[doc = "          \"$ref\": \"#/definitions/Access\""]
#[doc = "        }"]
#[doc = "      },"]
#[doc = "      \"additionalProperties\": false"]
#[doc = "    }"]
#[doc = "  ]"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub enum Object {
    #[serde(rename = "contract")]
    Contract(Contract),
    #[serde(rename = "model")]
    Model(Model),
    #[serde(rename = "service")]
    Service(Service),
    #[serde(rename = "withdrawal")]
    Withdrawal(Withdrawal),
    #[serde(rename = "rollout")]
    Rollout(Rollout),
    #[serde(rename = "zone")]
    Zone(Zone),
    #[serde(rename = "member")]
    Member(Member),
    #[serde(rename = "access")]
    Access(Access),
}
impl ::std::convert::From<&Self> for Object {
    fn from(value: &Object) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<Contract> for Object {
    fn from(value: Contract) -> Self {
        Self::Contract(value)
    }
}
impl ::std::convert::From<Model> for Object {
    fn from(value: Model) -> Self {
        Self::Model(value)
    }
}
impl ::std::convert::From<Service> for Object {
    fn from(value: Service) -> Self {
        Self::Service(value)
    }
}
impl ::std::convert::From<Withdrawal> for Object {
    fn from(value: Withdrawal) -> Self {
        Self::Withdrawal(value)
    }
}
impl ::std::convert::From<Rollout> for Object {
    fn from(value: Rollout) -> Self {
        Self::Rollout(value)
    }
}
impl ::std::convert::From<Zone> for Object {
    fn from(value: Zone) -> Self {
        Self::Zone(value)
    }
}
impl ::std::convert::From<Member> for Object {
    fn from(value: Member) -> Self {
        Self::Member(value)
    }
}
impl ::std::convert::From<Access> for Object {
    fn from(value: Access) -> Self {
        Self::Access(value)
    }
}
#[doc = "A new version is introduced under a budget of bad answers."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"A new version is introduced under a budget of bad answers.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"model\","]
#[doc = "    \"to\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"bad_answers\": {"]
#[doc = "      \"description\": \"Bad answers that may be spent to learn the version's quality.\","]
#[doc = "      \"default\": 20,"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint32\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"model\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"paused\": {"]
#[doc = "      \"default\": false,"]
#[doc = "      \"type\": \"boolean\""]
#[doc = "    },"]
#[doc = "    \"to\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    #[doc = "Bad answers that may be spent to learn the version's quality."]
    #[serde(default = "defaults::default_u64::<u32, 20>")]
    pub bad_answers: u32,
    pub model: ::std::string::String,
    #[serde(default)]
    pub paused: bool,
    pub to: ::std::string::String,
}
impl ::std::convert::From<&Rollout> for Rollout {
    fn from(value: &Rollout) -> Self {
        value.clone()
    }
}
#[doc = "Whether calls of a method under a path prefix may be repeated. Calls that match no route may not."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"Whether calls of a method under a path prefix may be repeated. Calls that match no route may not.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"method\","]
#[doc = "    \"prefix\","]
#[doc = "    \"repeatable\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"method\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"prefix\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"repeatable\": {"]
#[doc = "      \"type\": \"boolean\""]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Route {
    pub method: ::std::string::String,
    pub prefix: ::std::string::String,
    pub repeatable: bool,
}
impl ::std::convert::From<&Route> for Route {
    fn from(value: &Route) -> Self {
        value.clone()
    }
}
#[doc = "`Service`"]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"name\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"name\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"routes\": {"]
#[doc = "      \"default\": [],"]
#[doc = "      \"type\": \"array\","]
#[doc = "      \"items\": {"]
#[doc = "        \"$ref\": \"#/definitions/Route\""]
#[doc = "      }"]
#[doc = "    },"]
#[doc = "    \"slots\": {"]
#[doc = "      \"default\": 32,"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint32\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"timeout_ms\": {"]
#[doc = "      \"default\": 10000,"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Service {
    pub name: ::std::string::String,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub routes: ::std::vec::Vec<Route>,
    #[serde(default = "defaults::default_u64::<u32, 32>")]
    pub slots: u32,
    #[serde(default = "defaults::default_u64::<u64, 10000>")]
    pub timeout_ms: u64,
}
impl ::std::convert::From<&Service> for Service {
    fn from(value: &Service) -> Self {
        value.clone()
    }
}
#[doc = "The quality and latency expected of one kind of request."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"The quality and latency expected of one kind of request.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"quality\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"cascade\": {"]
#[doc = "      \"description\": \"Whether a cheap answer may be rated and escalated.\","]
#[doc = "      \"default\": true,"]
#[doc = "      \"type\": \"boolean\""]
#[doc = "    },"]
#[doc = "    \"deadline_ms\": {"]
#[doc = "      \"default\": 60000,"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"hold\": {"]
#[doc = "      \"description\": \"Whether a streamed answer is held back until it is rated.\","]
#[doc = "      \"default\": true,"]
#[doc = "      \"type\": \"boolean\""]
#[doc = "    },"]
#[doc = "    \"max_tokens\": {"]
#[doc = "      \"default\": 1024,"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint32\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"quality\": {"]
#[doc = "      \"description\": \"Share of answers that must be good, 0 to 1.\","]
#[doc = "      \"type\": \"number\""]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Task {
    #[doc = "Whether a cheap answer may be rated and escalated."]
    #[serde(default = "defaults::default_bool::<true>")]
    pub cascade: bool,
    #[serde(default = "defaults::default_u64::<u64, 60000>")]
    pub deadline_ms: u64,
    #[doc = "Whether a streamed answer is held back until it is rated."]
    #[serde(default = "defaults::default_bool::<true>")]
    pub hold: bool,
    #[serde(default = "defaults::default_u64::<u32, 1024>")]
    pub max_tokens: u32,
    pub quality: f64,
}
impl ::std::convert::From<&Task> for Task {
    fn from(value: &Task) -> Self {
        value.clone()
    }
}
#[doc = "One version of a model, with its prices and what a backend server that runs it can carry."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"One version of a model, with its prices and what a backend server that runs it can carry.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"input_micros\","]
#[doc = "    \"name\","]
#[doc = "    \"output_micros\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"cold_slots\": {"]
#[doc = "      \"description\": \"Requests a backend server in cold start carries at once.\","]
#[doc = "      \"default\": 1,"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint32\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"fenced\": {"]
#[doc = "      \"description\": \"Whether its backend servers refuse an old fencing number.\","]
#[doc = "      \"default\": false,"]
#[doc = "      \"type\": \"boolean\""]
#[doc = "    },"]
#[doc = "    \"input_micros\": {"]
#[doc = "      \"description\": \"Micro-units of money per 1,000 input tokens.\","]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"name\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"output_micros\": {"]
#[doc = "      \"description\": \"Micro-units of money per 1,000 output tokens.\","]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"quality\": {"]
#[doc = "      \"description\": \"Prior share of good answers, 0 to 1.\","]
#[doc = "      \"default\": 0.5,"]
#[doc = "      \"type\": \"number\""]
#[doc = "    },"]
#[doc = "    \"slots\": {"]
#[doc = "      \"description\": \"Requests a warm backend server carries at once.\","]
#[doc = "      \"default\": 16,"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint32\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"warm_after\": {"]
#[doc = "      \"description\": \"Completed requests after which a backend server counts as warm.\","]
#[doc = "      \"default\": 4,"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint32\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Version {
    #[doc = "Requests a backend server in cold start carries at once."]
    #[serde(default = "defaults::default_u64::<u32, 1>")]
    pub cold_slots: u32,
    #[doc = "Whether its backend servers refuse an old fencing number."]
    #[serde(default)]
    pub fenced: bool,
    #[doc = "Micro-units of money per 1,000 input tokens."]
    pub input_micros: u64,
    pub name: ::std::string::String,
    #[doc = "Micro-units of money per 1,000 output tokens."]
    pub output_micros: u64,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub quality: ::std::option::Option<f64>,
    #[doc = "Requests a warm backend server carries at once."]
    #[serde(default = "defaults::default_u64::<u32, 16>")]
    pub slots: u32,
    #[doc = "Completed requests after which a backend server counts as warm."]
    #[serde(default = "defaults::default_u64::<u32, 4>")]
    pub warm_after: u32,
}
impl ::std::convert::From<&Version> for Version {
    fn from(value: &Version) -> Self {
        value.clone()
    }
}
#[doc = "A version that receives no new work."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"A version that receives no new work.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"model\","]
#[doc = "    \"version\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"model\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"reason\": {"]
#[doc = "      \"default\": \"\","]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"version\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Withdrawal {
    pub model: ::std::string::String,
    #[serde(default)]
    pub reason: ::std::string::String,
    pub version: ::std::string::String,
}
impl ::std::convert::From<&Withdrawal> for Withdrawal {
    fn from(value: &Withdrawal) -> Self {
        value.clone()
    }
}
#[doc = "`Zone`"]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"name\","]
#[doc = "    \"out\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"name\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"out\": {"]
#[doc = "      \"type\": \"boolean\""]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    pub name: ::std::string::String,
    pub out: bool,
}
impl ::std::convert::From<&Zone> for Zone {
    fn from(value: &Zone) -> Self {
        value.clone()
    }
}
#[doc = r" Generation of default values for serde."]
pub mod defaults {
    pub(super) fn default_bool<const V: bool>() -> bool {
        V
    }
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
}
